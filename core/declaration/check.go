package declaration

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// maxVMsPerReplica is the maximum number of VMs of one serving group.
const maxVMsPerReplica = 64

// Problem is one invalid field of a declaration. Field is its path, such as
// "models[0].version".
type Problem struct {
	Field   string
	Message string
}

// checker collects the problems of a declaration.
type checker struct {
	problems []Problem
}

// report adds a problem of a field.
func (c *checker) report(field, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{
		Field:   field,
		Message: fmt.Sprintf(format, arguments...),
	})
}

// Check returns all problems of the declaration, in the order of its fields.
func (d Declaration) Check() []Problem {
	c := &checker{}
	c.checkName("deployment", d.Deployment)
	c.checkWeights(d.Weights)
	c.checkDuration("limits.queue_wait", d.Limits.QueueWait)
	c.checkDuration("limits.deadline", d.Limits.Deadline)
	c.checkDuration("limits.keep_keys", d.Limits.KeepKeys)
	if d.Limits.ParallelLoads < 0 {
		c.report("limits.parallel_loads", "must be 0 or more")
	}
	c.checkZones(d.Zones)
	c.checkOrganisations(d.Organisations)
	c.checkOperators(d.Operators)
	c.checkDistinctKeys(d)
	c.checkModels(d)
	c.checkServices(d.Services)
	return c.problems
}

// checkName checks a name, which is later part of row keys and paths.
func (c *checker) checkName(field, value string) {
	if value == "" {
		c.report(field, "must be set")
		return
	}
	for _, letter := range value {
		isLower := letter >= 'a' && letter <= 'z'
		isDigit := letter >= '0' && letter <= '9'
		if !isLower && !isDigit && letter != '-' {
			c.report(field, "%q may hold only a-z, 0-9 and -", value)
			return
		}
	}
}

// checkDistinctNames checks that all names of one list differ.
func (c *checker) checkDistinctNames(list string, names []string) {
	seen := map[string]int{}
	for i, name := range names {
		if first, ok := seen[name]; ok {
			c.report(fmt.Sprintf("%s[%d].name", list, i), "%q stands already at %s[%d]", name, list, first)
			continue
		}
		seen[name] = i
	}
}

// checkWeights checks that both weights are above 0.
func (c *checker) checkWeights(weights Weights) {
	if weights.GroupDowntime <= 0 {
		c.report("weights.group_downtime", "must be above 0")
	}
	if weights.StrandedAccelerators <= 0 {
		c.report("weights.stranded_accelerators", "must be above 0")
	}
}

// checkDuration checks an optional duration.
func (c *checker) checkDuration(field string, value Duration) {
	if value == "" {
		return
	}
	parsed, err := time.ParseDuration(string(value))
	if err != nil {
		c.report(field, "%q is no duration with a unit, such as 500ms, 10s or 2m", string(value))
		return
	}
	if parsed <= 0 {
		c.report(field, "must be above 0")
	}
}

// checkZones checks that there is at least one zone, and the names and sites of all.
func (c *checker) checkZones(zones []Zone) {
	if len(zones) == 0 {
		c.report("zones", "must name at least one zone")
	}
	names := make([]string, len(zones))
	for i, zone := range zones {
		names[i] = zone.Name
		c.checkName(fmt.Sprintf("zones[%d].name", i), zone.Name)
		c.checkName(fmt.Sprintf("zones[%d].site", i), zone.Site)
	}
	c.checkDistinctNames("zones", names)
}

// checkOrganisations checks the organisations, their keys and their limits.
func (c *checker) checkOrganisations(organisations []Organisation) {
	names := make([]string, len(organisations))
	for i, organisation := range organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		names[i] = organisation.Name
		c.checkName(field+".name", organisation.Name)
		c.checkKeyHashes(field, organisation.KeyHashes)
		c.checkPositive(field+".share", organisation.Share)
		c.checkPositive(field+".max_in_flight", organisation.MaxInFlight)
		c.checkPositive(field+".max_queued", organisation.MaxQueued)
		if organisation.RequestsPerSecond <= 0 {
			c.report(field+".requests_per_second", "must be above 0")
		}
	}
	c.checkDistinctNames("organisations", names)
}

// checkOperators checks the operators and their keys.
func (c *checker) checkOperators(operators []Operator) {
	names := make([]string, len(operators))
	for i, operator := range operators {
		field := fmt.Sprintf("operators[%d]", i)
		names[i] = operator.Name
		c.checkName(field+".name", operator.Name)
		c.checkKeyHashes(field, operator.KeyHashes)
	}
	c.checkDistinctNames("operators", names)
}

// checkDistinctKeys checks that no key belongs to two organisations or operators.
func (c *checker) checkDistinctKeys(declaration Declaration) {
	fieldOfHash := map[string]string{}
	addKeys := func(field string, hashes []string) {
		for i, hash := range hashes {
			hashField := fmt.Sprintf("%s.key_hashes[%d]", field, i)
			if first, ok := fieldOfHash[hash]; ok {
				c.report(hashField, "the same key stands at %s", first)
				continue
			}
			fieldOfHash[hash] = hashField
		}
	}
	for i, organisation := range declaration.Organisations {
		addKeys(fmt.Sprintf("organisations[%d]", i), organisation.KeyHashes)
	}
	for i, operator := range declaration.Operators {
		addKeys(fmt.Sprintf("operators[%d]", i), operator.KeyHashes)
	}
}

// checkKeyHashes checks that there is at least one key and that each is given as
// its SHA-256 hash.
func (c *checker) checkKeyHashes(field string, hashes []string) {
	if len(hashes) == 0 {
		c.report(field+".key_hashes", "must hold at least one hash")
	}
	for i, hash := range hashes {
		decoded, err := hex.DecodeString(hash)
		if err != nil || len(decoded) != 32 || strings.ToLower(hash) != hash {
			c.report(fmt.Sprintf("%s.key_hashes[%d]", field, i), "must be a SHA-256 hash in 64 lower-case hexadecimal digits")
		}
	}
}

// checkPositive checks that a count is at least 1.
func (c *checker) checkPositive(field string, value int) {
	if value < 1 {
		c.report(field, "must be 1 or more, not %d", value)
	}
}

// checkModels checks the models, and that their zones are declared.
func (c *checker) checkModels(declaration Declaration) {
	names := make([]string, len(declaration.Models))
	for i, model := range declaration.Models {
		field := fmt.Sprintf("models[%d]", i)
		names[i] = model.Name
		c.checkName(field+".name", model.Name)
		if model.Version == "" {
			c.report(field+".version", "must be set")
		}
		if model.VMsPerReplica < 1 || model.VMsPerReplica > maxVMsPerReplica {
			c.report(field+".vms_per_replica", "must be 1 to %d, not %d", maxVMsPerReplica, model.VMsPerReplica)
		}
		c.checkDuration(field+".load_time", model.LoadTime)
		for zone, count := range model.Replicas {
			if !declaration.HasZone(zone) {
				c.report(field+".replicas", "zone %q is not declared", zone)
			}
			if count < 0 {
				c.report(field+".replicas", "zone %q: must be 0 or more, not %d", zone, count)
			}
		}
	}
	c.checkDistinctNames("models", names)
}

// checkServices checks the plain services and their non-repeatable endpoints.
func (c *checker) checkServices(services []Service) {
	names := make([]string, len(services))
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		names[i] = service.Name
		c.checkName(field+".name", service.Name)
		if !strings.HasPrefix(service.Prefix, "/") || strings.HasPrefix(service.Prefix, "/v1") || service.Prefix == "/" {
			c.report(field+".prefix", "must begin with / and be neither / nor under /v1")
		}
		for j, endpoint := range service.NotRepeatable {
			endpointField := fmt.Sprintf("%s.not_repeatable[%d]", field, j)
			if endpoint.Method == "" || strings.ToUpper(endpoint.Method) != endpoint.Method {
				c.report(endpointField+".method", "must be an HTTP method in capitals")
			}
			if !isUnder(endpoint.Path, service.Prefix) {
				c.report(endpointField+".path", "%q is not under the service's prefix %q", endpoint.Path, service.Prefix)
			}
		}
	}
	c.checkDistinctNames("services", names)
}
