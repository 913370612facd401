package assembly

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RecentTable holds which model each server loaded last; the key is a domain. A server's
// entry shows it only while the server is in a group, and a daemon that has just started
// has not observed earlier groups. Without the table a new leader would assume a load of
// 16 s for servers that rejoin within 0.2 s.
const RecentTable = "recent_models"

// Recent is which models the servers of a domain loaded last.
type Recent struct {
	Domain string `json:"domain"`
	// Models are model names by incarnation of the server: a server that restarted under
	// its ID has loaded no model.
	Models map[string]string `json:"models"`
}

// Encode returns the value of the row in the store.
func (r Recent) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrapf(err, "encode recent models of domain %s", r.Domain)
}

// DecodeRecent decodes a row of RecentTable.
func DecodeRecent(value []byte) (Recent, error) {
	var recent Recent
	err := json.Unmarshal(value, &recent)
	return recent, errors.Wrap(err, "decode recent models of a domain")
}

// planRecentModels adds the last loaded models of the servers in a group's domain to the
// plan. They are written together with the removal of the group, because the servers do not
// report them afterwards.
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

// groupDomain returns the domain of a group, which is that of its first known member.
func groupDomain(record Record, input World) (string, bool) {
	for _, id := range record.Members {
		if server, ok := input.Fleet.Known(id); ok {
			return server.Domain, true
		}
	}
	return "", false
}
