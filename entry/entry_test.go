package entry_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"headcourse/core/settings"
	"headcourse/entry"
	"headcourse/lab/standin"
	"headcourse/platform"
	"headcourse/platform/wire"
)

// patience bounds every wait for something that must come. It is long, so that
// a busy machine does not decide a test.
const patience = 30 * time.Second

// site is a stand-in of the platform with some daemons.
type site struct {
	t        *testing.T
	platform *standin.Platform
	// first is a copy of the store from before there was any daemon.
	first   standin.Snapshot
	daemons []*entry.Daemon
	logs    *observer.ObservedLogs
	log     *zap.Logger
}

// newSite starts a platform and daemons, and waits until groups of both models
// serve.
func newSite(t *testing.T, daemons int) *site {
	t.Helper()
	return newSiteWith(t, daemons, func(*settings.Settings) {})
}

// newSiteWith is newSite with settings of all daemons edited.
func newSiteWith(t *testing.T, daemons int, edit func(known *settings.Settings)) *site {
	t.Helper()
	return newSiteOf(t, daemons, standin.Size{
		Domains:   2,
		PerDomain: 8,
		Plain:     3,
	}, edit)
}

// newSiteOf is newSiteWith a stand-in of some size.
func newSiteOf(t *testing.T, daemons int, size standin.Size, edit func(known *settings.Settings)) *site {
	t.Helper()
	platformStandin, err := standin.Start(t.TempDir(), size)
	qt.Assert(t, err, qt.IsNil)
	core, logs := observer.New(zapcore.DebugLevel)
	s := &site{
		t:        t,
		platform: platformStandin,
		first:    platformStandin.Store.Snapshot(),
		logs:     logs,
		log:      zap.New(core),
	}
	t.Cleanup(s.close)
	names := []string{"front-a", "front-b", "front-c", "front-d", "front-e"}
	for _, name := range names[:daemons] {
		s.daemons = append(s.daemons, s.startDaemonWith(name, edit))
	}
	s.awaitGroups()
	return s
}

// startDaemon starts a daemon by a settings file of its own.
func (s *site) startDaemon(name string) *entry.Daemon {
	s.t.Helper()
	return s.startDaemonWith(name, func(*settings.Settings) {})
}

// startDaemonWith starts a daemon by a settings file of its own, edited.
func (s *site) startDaemonWith(name string, edit func(known *settings.Settings)) *entry.Daemon {
	s.t.Helper()
	path, err := s.platform.WriteSettings(name, 0, 0, 0)
	qt.Assert(s.t, err, qt.IsNil)
	known, err := platform.ReadSettings(path)
	qt.Assert(s.t, err, qt.IsNil)
	edit(&known)
	daemon, err := entry.Start(known, s.log.With(zap.String("daemon", name)))
	qt.Assert(s.t, err, qt.IsNil)
	return daemon
}

// close ends everything and checks that nothing happened that never must.
func (s *site) close() {
	for _, daemon := range s.daemons {
		daemon.Kill()
	}
	s.platform.Close()
	qt.Check(s.t, s.platform.Violations(), qt.HasLen, 0)
	for _, line := range s.lines("") {
		qt.Check(s.t, strings.Contains(line, standin.KeyOne) || strings.Contains(line, standin.KeyTwo), qt.IsFalse, qt.Commentf("%s", line))
	}
}

// client returns a client of a daemon.
func (s *site) client(daemon int, key string) *standin.Client {
	return &standin.Client{
		Platform: s.platform,
		Address:  s.daemons[daemon].ClientsAddress(),
		Daemon:   strconv.Itoa(daemon),
		Key:      key,
	}
}

// isWhole tells whether an answer is a whole success.
func isWhole(answer standin.Answer) bool {
	return answer.Status == http.StatusOK && answer.Err == nil
}

// hasStatus returns a check for a status.
func hasStatus(status int) func(standin.Answer) bool {
	return func(answer standin.Answer) bool {
		return answer.Status == status
	}
}

// await waits until an answer satisfies is, and fails the test if none does.
func (s *site) await(ask func() standin.Answer, is func(standin.Answer) bool) standin.Answer {
	s.t.Helper()
	answer, ok := standin.Await(patience, ask, is)
	qt.Assert(s.t, ok, qt.IsTrue, qt.Commentf("last answer: %+v", answer))
	return answer
}

// awaitTrue waits until something holds, and fails the test if it never does.
func (s *site) awaitTrue(holds func() bool) {
	s.t.Helper()
	const pause = 20 * time.Millisecond
	for end := time.Now().Add(patience); !holds(); time.Sleep(pause) {
		qt.Assert(s.t, time.Now().Before(end), qt.IsTrue)
	}
}

// awaitGroups waits until each daemon serves streams of both models.
func (s *site) awaitGroups() {
	s.t.Helper()
	for i := range s.daemons {
		for _, model := range []string{standin.ModelLarge, standin.ModelSmall} {
			s.await(func() standin.Answer {
				return s.client(i, standin.KeyOne).Stream(context.Background(), model, 3)
			}, isWhole)
		}
	}
}

// lines returns the log lines that hold a text, with all their fields.
func (s *site) lines(text string) []string {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	var lines []string
	for _, entry := range s.logs.All() {
		line, err := encoder.EncodeEntry(entry.Entry, entry.Context)
		qt.Assert(s.t, err, qt.IsNil)
		if strings.Contains(line.String(), text) {
			lines = append(lines, line.String())
		}
	}
	return lines
}

// get asks for something that may be repeated, post for what may not.
func get(client *standin.Client) standin.Answer {
	return client.Ask(context.Background(), http.MethodGet, standin.PathSafe+"gate", nil, "")
}

func post(client *standin.Client) standin.Answer {
	return client.Ask(context.Background(), http.MethodPost, standin.PathUnsafe+"report", nil, "leak at valve 7")
}

func TestEveryKindOfRequestIsServedByEveryDaemon(t *testing.T) {
	s := newSite(t, 3)
	for i := range s.daemons {
		client := s.client(i, standin.KeyOne)
		qt.Assert(t, isWhole(get(client)), qt.IsTrue)
		answer := post(client)
		qt.Assert(t, isWhole(answer), qt.IsTrue)
		qt.Assert(t, answer.Body, qt.Equals, "answer to "+answer.ID+" with 15 bytes")
		qt.Assert(t, s.platform.Runs(answer.ID), qt.Equals, 1)
	}
}

func TestUnknownKeysAndRoutesAreRefused(t *testing.T) {
	s := newSite(t, 1)
	qt.Assert(t, get(s.client(0, "no-such-key")).Status, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, get(s.client(0, "")).Status, qt.Equals, http.StatusUnauthorized)
	answer := s.client(0, standin.KeyOne).Ask(context.Background(), http.MethodGet, "/nowhere/", nil, "")
	qt.Assert(t, answer.Status, qt.Equals, http.StatusNotFound)
}

func TestHeadersOfTheSystemAreNotTakenFromClients(t *testing.T) {
	s := newSite(t, 1)
	answer := s.client(0, standin.KeyOne).Ask(context.Background(), http.MethodGet, standin.PathSafe+"x", map[string]string{
		wire.HeaderTenant:   "somebody-else",
		wire.HeaderInstance: "i-9999",
	}, "")
	qt.Assert(t, isWhole(answer), qt.IsTrue)
}

func TestWithdrawnKeyIsDeadAtEveryDaemon(t *testing.T) {
	s := newSite(t, 5)
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants = config.Tenants[1:]
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, standin.KeyOne))
		}, hasStatus(http.StatusUnauthorized))
		qt.Assert(t, isWhole(get(s.client(i, standin.KeyTwo))), qt.IsTrue)
	}
}

func TestBadConfigurationLeavesTheLastGoodOneInForce(t *testing.T) {
	s := newSite(t, 2)
	s.platform.WriteRawConfig(`{"Version":99,"Routes":[{"Name":"r","Kind":"sometimes"}]}`)
	for end := time.Now().Add(patience); len(s.lines("configuration: not taken")) < 2 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	lines := s.lines("configuration: not taken")
	qt.Assert(t, len(lines) >= 2, qt.IsTrue)
	qt.Assert(t, lines[0], qt.Contains, `route 0 (r): kind \"sometimes\"`)
	qt.Assert(t, isWhole(get(s.client(0, standin.KeyOne))), qt.IsTrue)
}

func TestStreamGoesOnWhenAMemberDies(t *testing.T) {
	s := newSite(t, 2)
	heads := s.platform.Heads(standin.ModelLarge)
	qt.Assert(t, len(heads) >= 2, qt.IsTrue)
	const streams, events = 8, 150
	answers := make(chan standin.Answer, streams)
	for i := range streams {
		go func() {
			answers <- s.client(i%2, standin.KeyOne).Stream(context.Background(), standin.ModelLarge, events)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	s.platform.Members(heads[0])[2].Kill()
	for range streams {
		answer := <-answers
		qt.Assert(t, isWhole(answer), qt.IsTrue, qt.Commentf("%+v", answer))
	}
	for end := time.Now().Add(patience); len(s.platform.Heads(standin.ModelLarge)) < len(heads) && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, len(s.platform.Heads(standin.ModelLarge)), qt.Equals, len(heads))
}

// A head and a member that start again under the IDs that they had, before their entries
// lapse, are in no group, though their entries had told one.
func TestGroupsComeBackWhenServersStartAgainUnderTheirIDs(t *testing.T) {
	s := newSite(t, 2)
	heads := s.platform.Heads(standin.ModelLarge)
	former := s.platform.Members(heads[0])
	qt.Assert(t, former[0].Restart(), qt.IsNil)
	qt.Assert(t, former[2].Restart(), qt.IsNil)
	s.awaitTrue(func() bool {
		return len(s.lines("has started again")) > 0
	})
	s.awaitTrue(func() bool {
		return len(s.platform.Heads(standin.ModelLarge)) == len(heads)
	})
	s.awaitGroups()
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	s := newSite(t, 1)
	leaving := s.platform.Servers(standin.ServicePlain)[0]
	leaving.Drain()
	client := s.client(0, standin.KeyOne)
	isElsewhere := func(answer standin.Answer) bool {
		return isWhole(answer) && !strings.Contains(answer.Seal, leaving.ID())
	}
	for range 20 {
		s.await(func() standin.Answer {
			return get(client)
		}, isElsewhere)
	}
	for range 20 {
		qt.Assert(t, isElsewhere(get(client)), qt.IsTrue)
	}
}

func TestSheddingServersAreRefusedTruthfully(t *testing.T) {
	s := newSite(t, 1)
	for _, server := range s.platform.Servers(standin.ServicePlain) {
		server.SetMood(standin.Shedding)
	}
	answer := post(s.client(0, standin.KeyOne))
	qt.Assert(t, answer.Status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, answer.Retry, qt.Not(qt.Equals), "")
	qt.Assert(t, s.platform.Runs(answer.ID), qt.Equals, 0)
}

func TestAnswerThatBreaksOffIsNeverCalledNotRun(t *testing.T) {
	s := newSite(t, 1)
	for _, server := range s.platform.Servers(standin.ServicePlain) {
		server.SetMood(standin.Cutting)
	}
	answer := post(s.client(0, standin.KeyOne))
	qt.Assert(t, answer.Status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, s.platform.Runs(answer.ID), qt.Equals, 1)
}

func TestRepeatableRequestIsServedElsewhere(t *testing.T) {
	s := newSite(t, 1)
	servers := s.platform.Servers(standin.ServicePlain)
	servers[0].SetMood(standin.Cutting)
	servers[1].SetMood(standin.Shedding)
	whole := 0
	for range 20 {
		if isWhole(get(s.client(0, standin.KeyOne))) {
			whole++
		}
	}
	qt.Assert(t, whole, qt.Equals, 20)
}

func TestSurplusAnswerIsGivenToNobody(t *testing.T) {
	s := newSite(t, 1)
	for _, server := range s.platform.Servers(standin.ServicePlain) {
		server.SetMood(standin.Extra)
	}
	client := s.client(0, standin.KeyOne)
	for range 30 {
		answer := post(client)
		qt.Assert(t, isWhole(answer), qt.IsTrue, qt.Commentf("%+v", answer))
		qt.Assert(t, answer.Body, qt.Contains, answer.ID)
	}
}

func TestWithoutTheStoreKeysAreAcceptedForABoundedTimeOnly(t *testing.T) {
	s := newSite(t, 2)
	s.platform.Store.SetFault(standin.Silent)
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, hasStatus(http.StatusServiceUnavailable))
	s.platform.Store.SetFault(standin.Well)
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, isWhole)
}

// Where withdrawal is not strict, an outage of the store ends nothing: on a day of the
// users' bench everything was refused for three seconds of it. Keys still die as soon
// as the store is heard.
func TestWithoutTheStoreTheLastGoodConfigurationIsServedOnWhereTheOperatorChoseSo(t *testing.T) {
	s := newSite(t, 1)
	s.daemons = append(s.daemons, s.startDaemonWith("front-b", func(known *settings.Settings) {
		known.IsRevocationStrict = false
	}))
	s.await(func() standin.Answer {
		return get(s.client(1, standin.KeyOne))
	}, isWhole)

	s.platform.Store.SetFault(standin.Silent)
	s.await(func() standin.Answer {
		return get(s.client(0, standin.KeyOne))
	}, hasStatus(http.StatusServiceUnavailable))
	s.await(func() standin.Answer {
		return get(s.client(1, "a key that may have been added"))
	}, hasStatus(http.StatusServiceUnavailable))
	qt.Assert(t, get(s.client(1, standin.KeyOne)), qt.Satisfies, isWhole)

	s.platform.Store.SetFault(standin.Well)
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants[0].APIKeys = []string{"new-key"}
	})
	s.await(func() standin.Answer {
		return get(s.client(1, standin.KeyOne))
	}, hasStatus(http.StatusUnauthorized))
	s.await(func() standin.Answer {
		return get(s.client(1, "new-key"))
	}, isWhole)
}

func TestForgottenHistoryAndLostAnswersChangeNothing(t *testing.T) {
	s := newSite(t, 2)
	s.platform.Store.SetFault(standin.Lossy)
	heads := s.platform.Heads(standin.ModelSmall)
	s.platform.Members(heads[0])[1].Kill()
	time.Sleep(time.Second)
	s.platform.Store.Forget()
	s.platform.Store.SetFault(standin.Well)
	s.platform.ChangeConfig(func(config *wire.Config) {
		config.Tenants[0].APIKeys = []string{"new-key"}
	})
	for i := range s.daemons {
		s.await(func() standin.Answer {
			return get(s.client(i, "new-key"))
		}, isWhole)
	}
	for end := time.Now().Add(patience); len(s.platform.Heads(standin.ModelSmall)) < len(heads) && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	qt.Assert(t, len(s.platform.Heads(standin.ModelSmall)), qt.Equals, len(heads))
}

func TestStopLetsStreamsEnd(t *testing.T) {
	s := newSite(t, 2)
	answers := make(chan standin.Answer, 4)
	for range 4 {
		go func() {
			answers <- s.client(0, standin.KeyOne).Stream(context.Background(), standin.ModelSmall, 100)
		}()
	}
	time.Sleep(200 * time.Millisecond)
	qt.Assert(t, s.daemons[0].Stop(), qt.IsNil)
	for range 4 {
		qt.Assert(t, isWhole(<-answers), qt.IsTrue)
	}
	s.daemons = s.daemons[1:]
	s.awaitGroups()
}

func TestRestartOfAllTakesGroupsUpAgain(t *testing.T) {
	s := newSite(t, 3)
	before := s.platform.Heads(standin.ModelLarge)
	for _, daemon := range s.daemons {
		daemon.Kill()
	}
	s.daemons = nil
	for _, name := range []string{"front-a", "front-b", "front-c"} {
		s.daemons = append(s.daemons, s.startDaemon(name))
	}
	s.awaitGroups()
	after := s.platform.Heads(standin.ModelLarge)
	qt.Assert(t, len(after), qt.Equals, len(before))
	for i, head := range after {
		qt.Assert(t, head.ID(), qt.Equals, before[i].ID())
	}
}

// Found on trouble-2 of caudal-presion: requests whose server could not be
// reached were refused because the budget for retries was spent, though nothing
// had arrived anywhere.
func TestUnreachableServerCostsNoBudget(t *testing.T) {
	s := newSite(t, 1)
	client := s.client(0, standin.KeyOne)
	for _, server := range s.platform.Servers(standin.ServicePlain) {
		server.SetMood(standin.Shedding)
	}
	// The budget of one daemon: a share of its requests and its part of a burst.
	for range 200 {
		get(client)
	}
	servers := s.platform.Servers(standin.ServicePlain)
	servers[0].SetMood(standin.Good)
	servers[1].Stop()
	servers[2].Stop()
	whole := 0
	const asked = 20
	for range asked {
		if isWhole(get(client)) {
			whole++
		}
	}
	qt.Assert(t, whole, qt.Equals, asked)
}

func TestCauseOfAFailedRequestIsFoundByItsID(t *testing.T) {
	s := newSite(t, 1)
	for _, server := range s.platform.Servers(standin.ServicePlain) {
		server.SetMood(standin.Cutting)
	}
	cut := post(s.client(0, standin.KeyOne))
	refused := get(s.client(0, "no-such-key"))
	for _, head := range s.platform.Servers(standin.ServiceModel) {
		head.SetMood(standin.Shedding)
	}
	busy := s.client(0, standin.KeyOne).Stream(context.Background(), standin.ModelLarge, 3)
	for id, cause := range map[string]string{
		cut.ID:     ":connection_broken",
		refused.ID: `"reason":"unknown_key"`,
		busy.ID:    ":server_refused",
	} {
		lines := s.lines(`"request_id":"` + id + `"`)
		qt.Assert(t, lines, qt.HasLen, 1)
		qt.Assert(t, lines[0], qt.Contains, cause)
	}
}
