package assembly

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// RecentModelsTable holds which model each server loaded last; the key is a domain. A server's
// entry shows it only while the server is in a group, and a daemon that has just started
// has not observed earlier groups. Without the table a new leader would assume a load of
// 16 s for servers that rejoin within 0.2 s.
const RecentModelsTable = "recent_models"

// RecentModels is which models the servers of a domain loaded last.
type RecentModels struct {
	Domain string `json:"domain"`
	// Models maps the start of a server (fleet.Server.StartID) to the model that it loaded
	// last: a server that restarted under its ID has loaded no model.
	Models map[string]string `json:"models"`
}

// Encode returns the value of the row in the store.
func (r RecentModels) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrapf(err, "encode recent models of domain %s", r.Domain)
}

// DecodeRecentModels decodes a row of RecentModelsTable.
func DecodeRecentModels(value []byte) (RecentModels, error) {
	var recent RecentModels
	err := json.Unmarshal(value, &recent)
	return recent, errors.Wrap(err, "decode recent models of a domain")
}

// planRecentModels adds the last loaded models of the servers in a group's domain to the
// plan. They are written together with the removal of the group, because the servers do not
// report them afterwards.
func planRecentModels(record Record, input Input, plan *Plan) {
	domain, ok := groupDomain(record, input)
	if !ok {
		return
	}
	recent := RecentModels{
		Domain: domain,
		Models: map[string]string{},
	}
	for _, server := range input.Fleet.Servers() {
		if server.Domain == domain && server.LastModel != "" {
			recent.Models[server.StartID()] = server.LastModel
		}
	}
	plan.RecentModels = append(plan.RecentModels, recent)
}

// groupDomain returns the domain of a group, which is that of its first known member.
func groupDomain(record Record, input Input) (string, bool) {
	for _, id := range record.Members {
		if server, ok := input.Fleet.ServerOrRemoved(id); ok {
			return server.Domain, true
		}
	}
	return "", false
}
