package assembly

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RecentTable tells which model each server loaded last; the key is a domain. A
// server's entry tells it only while the server is in a group, and a daemon that has
// just started saw nothing of what was before. Without it a new leader takes servers
// that would join again in 0.2 s for ones that have to load for 16 s.
const RecentTable = "recent_models"

// Recent is what the servers of a domain loaded last.
type Recent struct {
	Domain string `json:"domain"`
	// Models are models by the start of the server: one that started again under its ID
	// has loaded none.
	Models map[string]string `json:"models"`
}

// Encode returns the value of the row in the store.
func (r Recent) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrapf(err, "encode recent models of domain %s", r.Domain)
}

// DecodeRecent returns what a row of RecentTable tells.
func DecodeRecent(value []byte) (Recent, error) {
	var recent Recent
	err := json.Unmarshal(value, &recent)
	return recent, errors.Wrap(err, "decode recent models of a domain")
}

// planRecentModels adds to the plan what the servers of a group's domain loaded last. It is
// written with the removal of the group, after which they do not tell it any more.
func planRecentModels(record Record, input World, plan *Plan) {
	domain, ok := groupDomain(record, input)
	if !ok {
		return
	}
	recent := Recent{
		Domain: domain,
		Models: map[string]string{},
	}
	for _, server := range input.Fleet.Servers() {
		if server.Domain == domain && server.Recent != "" {
			recent.Models[server.Start()] = server.Recent
		}
	}
	plan.Recent = append(plan.Recent, recent)
}

// groupDomain returns the domain of a group's members, by the first one that is known.
func groupDomain(record Record, input World) (string, bool) {
	for _, id := range record.Members {
		if server, ok := input.Fleet.Known(id); ok {
			return server.Domain, true
		}
	}
	return "", false
}
