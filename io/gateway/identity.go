package gateway

import (
	"slices"

	"headcourse/core/fleet"
	"headcourse/core/quarantine"
)

// maxLoggedParts bounds the parts of a prompt in one log line.
const maxLoggedParts = 8

// contentDigest returns the digest of the request's content, which is the same for all retries by
// the client.
func (j *job) contentDigest() quarantine.Digest {
	if !j.hasDigest {
		j.cachedDigest = quarantine.DigestOf(j.request.Target, j.organisation, j.request.Body)
		j.hasDigest = true
	}
	return j.cachedDigest
}

// partDigests returns the digests of the shared parts of the request's prompt at servers of one
// release.
func (j *job) partDigests(release string) []quarantine.Digest {
	engine := quarantine.Engine{
		Service: j.service,
		Model:   j.request.Model,
		Release: release,
	}
	var digests []quarantine.Digest
	for _, part := range j.request.PromptParts {
		digests = append(digests, quarantine.PartDigest(engine, part))
	}
	return digests
}

// digests returns all digests by which the request is known: that of its content, and those of the
// shared parts of its prompt for each release that the quarantine is checked for.
func (j *job) digests() []quarantine.Digest {
	digests := []quarantine.Digest{j.contentDigest()}
	for _, release := range j.decidedReleases {
		digests = append(digests, j.partDigests(release)...)
	}
	return digests
}

// isDecidedFor reports whether the quarantine was checked for the release of a server.
func (j *job) isDecidedFor(server fleet.Server) bool {
	j.quarantineMutex.Lock()
	defer j.quarantineMutex.Unlock()
	return len(j.request.PromptParts) == 0 || slices.Contains(j.decidedReleases, server.Release)
}

// releases returns the releases of the servers to which the request may be sent, in order.
func (j *job) releases() []string {
	if len(j.request.PromptParts) == 0 {
		return nil
	}
	var releases []string
	for _, server := range j.server.availableServers(j.service, j.request.Model) {
		releases = append(releases, server.Release)
	}
	slices.Sort(releases)
	return slices.Compact(releases)
}

// loggedParts returns the digests of the first shared parts of the prompt, in the form of row keys.
func (j *job) loggedParts() []string {
	parts := j.digests()[1:]
	return texts(parts[:min(len(parts), maxLoggedParts)])
}

// texts returns digests in the form used in logs.
func texts(digests []quarantine.Digest) []string {
	var all []string
	for _, digest := range digests {
		all = append(all, digest.String())
	}
	return all
}
