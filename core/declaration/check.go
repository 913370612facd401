package declaration

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// maxVMsPerReplica bounds the size of one serving group.
const maxVMsPerReplica = 64

// Problem is one mistake in a declaration. Field is a path such as
// "models[0].version".
type Problem struct {
	Field string
	Text  string
}

// checker gathers problems.
type checker struct {
	problems []Problem
}

// say notes a problem of a field.
func (c *checker) say(field, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{
		Field: field,
		Text:  fmt.Sprintf(format, arguments...),
	})
}

// Check returns every mistake in the declaration, in the order of its fields.
func (d Declaration) Check() []Problem {
	check := &checker{}
	check.name("deployment", d.Deployment)
	check.weights(d.Weights)
	check.duration("limits.queue_wait", d.Limits.QueueWait)
	check.duration("limits.deadline", d.Limits.Deadline)
	check.duration("limits.keep_keys", d.Limits.KeepKeys)
	if d.Limits.ParallelLoads < 0 {
		check.say("limits.parallel_loads", "must be 0 or more")
	}
	check.zones(d.Zones)
	check.organisations(d.Organisations)
	check.operators(d.Operators)
	check.keysDiffer(d)
	check.models(d)
	check.services(d.Services)
	return check.problems
}

// name checks a name that stands in keys and paths.
func (c *checker) name(field, value string) {
	if value == "" {
		c.say(field, "must be set")
		return
	}
	for _, letter := range value {
		isLower := letter >= 'a' && letter <= 'z'
		isDigit := letter >= '0' && letter <= '9'
		if !isLower && !isDigit && letter != '-' {
			c.say(field, "%q may hold only a-z, 0-9 and -", value)
			return
		}
	}
}

// distinct checks that no two names of one list are the same.
func (c *checker) distinct(list string, names []string) {
	seen := map[string]int{}
	for i, name := range names {
		if first, ok := seen[name]; ok {
			c.say(fmt.Sprintf("%s[%d].name", list, i), "%q stands already at %s[%d]", name, list, first)
			continue
		}
		seen[name] = i
	}
}

// weights checks that both weights can be weighed.
func (c *checker) weights(weights Weights) {
	if weights.GroupDowntime <= 0 {
		c.say("weights.group_downtime", "must be above 0")
	}
	if weights.StrandedAccelerators <= 0 {
		c.say("weights.stranded_accelerators", "must be above 0")
	}
}

// duration checks a duration that may be left out.
func (c *checker) duration(field string, value Duration) {
	if value == "" {
		return
	}
	parsed, err := time.ParseDuration(string(value))
	if err != nil {
		c.say(field, "%q is no duration with a unit, such as 500ms, 10s or 2m", string(value))
		return
	}
	if parsed <= 0 {
		c.say(field, "must be above 0")
	}
}

// zones checks the zones.
func (c *checker) zones(zones []Zone) {
	if len(zones) == 0 {
		c.say("zones", "must name at least one zone")
	}
	names := make([]string, len(zones))
	for i, zone := range zones {
		names[i] = zone.Name
		c.name(fmt.Sprintf("zones[%d].name", i), zone.Name)
		c.name(fmt.Sprintf("zones[%d].site", i), zone.Site)
	}
	c.distinct("zones", names)
}

// organisations checks the organisations and their limits.
func (c *checker) organisations(organisations []Organisation) {
	names := make([]string, len(organisations))
	for i, organisation := range organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		names[i] = organisation.Name
		c.name(field+".name", organisation.Name)
		c.hashes(field, organisation.KeyHashes)
		c.positive(field+".share", organisation.Share)
		c.positive(field+".max_in_flight", organisation.MaxInFlight)
		c.positive(field+".max_queued", organisation.MaxQueued)
		if organisation.RequestsPerSecond <= 0 {
			c.say(field+".requests_per_second", "must be above 0")
		}
	}
	c.distinct("organisations", names)
}

// operators checks the operators.
func (c *checker) operators(operators []Operator) {
	names := make([]string, len(operators))
	for i, operator := range operators {
		field := fmt.Sprintf("operators[%d]", i)
		names[i] = operator.Name
		c.name(field+".name", operator.Name)
		c.hashes(field, operator.KeyHashes)
	}
	c.distinct("operators", names)
}

// keysDiffer checks that one key belongs to one organisation or operator.
func (c *checker) keysDiffer(declaration Declaration) {
	owner := map[string]string{}
	note := func(field string, hashes []string) {
		for i, hash := range hashes {
			place := fmt.Sprintf("%s.key_hashes[%d]", field, i)
			if first, ok := owner[hash]; ok {
				c.say(place, "the same key stands at %s", first)
				continue
			}
			owner[hash] = place
		}
	}
	for i, organisation := range declaration.Organisations {
		note(fmt.Sprintf("organisations[%d]", i), organisation.KeyHashes)
	}
	for i, operator := range declaration.Operators {
		note(fmt.Sprintf("operators[%d]", i), operator.KeyHashes)
	}
}

// hashes checks that keys stand only as SHA-256 hashes.
func (c *checker) hashes(field string, hashes []string) {
	if len(hashes) == 0 {
		c.say(field+".key_hashes", "must hold at least one hash")
	}
	for i, hash := range hashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != 32 || strings.ToLower(hash) != hash {
			c.say(fmt.Sprintf("%s.key_hashes[%d]", field, i), "must be a SHA-256 hash in 64 lower-case hexadecimal digits")
		}
	}
}

// positive checks a count.
func (c *checker) positive(field string, value int) {
	if value < 1 {
		c.say(field, "must be 1 or more, not %d", value)
	}
}

// models checks the models against the declared zones.
func (c *checker) models(declaration Declaration) {
	names := make([]string, len(declaration.Models))
	for i, model := range declaration.Models {
		field := fmt.Sprintf("models[%d]", i)
		names[i] = model.Name
		c.name(field+".name", model.Name)
		if model.Version == "" {
			c.say(field+".version", "must be set")
		}
		if model.VMsPerReplica < 1 || model.VMsPerReplica > maxVMsPerReplica {
			c.say(field+".vms_per_replica", "must be 1 to %d, not %d", maxVMsPerReplica, model.VMsPerReplica)
		}
		c.duration(field+".load_time", model.LoadTime)
		for zone, count := range model.Replicas {
			if !declaration.HasZone(zone) {
				c.say(field+".replicas", "zone %q is not declared", zone)
			}
			if count < 0 {
				c.say(field+".replicas", "zone %q: must be 0 or more, not %d", zone, count)
			}
		}
	}
	c.distinct("models", names)
}

// services checks the plain services.
func (c *checker) services(services []Service) {
	names := make([]string, len(services))
	for i, service := range services {
		field := fmt.Sprintf("services[%d]", i)
		names[i] = service.Name
		c.name(field+".name", service.Name)
		if !strings.HasPrefix(service.Prefix, "/") || strings.HasPrefix(service.Prefix, "/v1") || service.Prefix == "/" {
			c.say(field+".prefix", "must begin with / and be neither / nor under /v1")
		}
		for j, endpoint := range service.NotRepeatable {
			place := fmt.Sprintf("%s.not_repeatable[%d]", field, j)
			if endpoint.Method == "" || strings.ToUpper(endpoint.Method) != endpoint.Method {
				c.say(place+".method", "must be an HTTP method in capitals")
			}
			if !isUnder(endpoint.Path, service.Prefix) {
				c.say(place+".path", "%q is not under the service's prefix %q", endpoint.Path, service.Prefix)
			}
		}
	}
	c.distinct("services", names)
}
