// Package entry runs one headcourse daemon on an entry VM. It connects the decisions of core/
// with clients, backend servers and the platform's store.
//
// All daemons are equal. Each watches the tables of the configuration and of the servers,
// serves clients according to them, and takes part in the election of the leader, which forms
// groups. Data flows in one direction:
//
//	store → followers → view → clients' requests
//	                       ↘ group control (leader only) → orders to servers
//
// A daemon stores no state locally: it reads everything again after a restart.
package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"headcourse/core/boottime"
	"headcourse/core/deferral"
	"headcourse/core/demand"
	"headcourse/core/fleet"
	"headcourse/core/pace"
	"headcourse/core/quarantine"
	"headcourse/core/ratelimit"
	"headcourse/core/reach"
	"headcourse/core/retry"
	"headcourse/core/rowstore"
	"headcourse/core/settings"
	"headcourse/io/exposition"
	"headcourse/io/gateway"
	"headcourse/io/kernel"
	"headcourse/io/logline"
	"headcourse/io/relay"
	"headcourse/io/tcp"
	"headcourse/io/tunnel"
	"headcourse/platform"
)

const (
	// configFeedWaitFraction is how long one call to the store waits for a new configuration, as a
	// fraction of the time within which configurations must apply. maxCopyAgeFraction is the
	// maximum age of a copy passed to another daemon, as a fraction of the same time. In normal
	// operation the copy of the first relay is at most one such wait old, and the copy of a
	// relay that reads from it two. A daemon whose relay loses the store notices after
	// maxCopyAgeFraction plus 0.2 s and switches to another relay, well within the bound.
	configFeedWaitFraction = 0.25
	maxCopyAgeFraction     = 0.6
	// serverFeedWait is how long one call waits for changes of servers. A broken connection
	// to the store is detected 0.7 s after this timeout, before the deadline by which a
	// draining server must get no new requests.
	serverFeedWait = 1500 * time.Millisecond
	// firstStartRelayWait is how long a daemon waits for relays to read a table at the first
	// start of the whole system, so that hundreds of daemons do not all read it from the store.
	// The first client arrives seconds later. It is below the timeout of a follower for reading
	// a table.
	firstStartRelayWait = time.Second
	// serverCoalesceDelay collects changes of servers, since groups form in many small steps.
	// Relays wait longer, since their calls cost more. A leading relay does not, since each
	// step of forming a group waits for the change before it.
	serverCoalesceDelay = 40 * time.Millisecond
	relayCoalesceDelay  = 120 * time.Millisecond
	// idleCoalesceDelay is the delay of relays before the first client arrives, while thousands
	// of servers form groups. The leader then waits for relayCoalesceDelay.
	idleCoalesceDelay = 400 * time.Millisecond
)

// Daemon is a running daemon. Create it with Start.
type Daemon struct {
	settings settings.Settings
	log      *zap.Logger
	registry metrics.Registry
	// startID identifies this start of the daemon, startedAt is its time.
	startID   string
	startedAt time.Time
	store     *platform.Store
	// rowWriter batches writes of daemon rows.
	rowWriter *rowstore.Batcher
	// direct connects to backend servers directly, dialer by any path. paths and peers are what this
	// daemon knows of its paths; tunnels opens tunnels for other daemons.
	direct       tcp.Dialer
	dialer       *tunnel.Dialer
	paths        reach.Paths
	peers        reach.Peers
	tunnels      *tunnel.Server
	engines      *platform.EngineClient
	gateway      *gateway.Server
	readiness    *readiness
	retryBudgets retry.Budgets
	// retryPart is this daemon's part of the retry budget.
	retryPart atomic.Pointer[retry.Part]
	// suspension measures how long the VM was suspended; bootClock includes that time.
	suspension kernel.SuspendClock
	bootClock  boottime.Clock
	// storeClock dates the store's answers; configFreshness tracks the age of the
	// configuration.
	storeClock      rowstore.Freshness
	configFreshness rowstore.Freshness
	// configSource is the daemon that confirmed the configuration last, or the store.
	configSource atomic.Pointer[string]
	// refresher confirms the configuration out of turn, beside runConfigFollower.
	refresher         *rowstore.Refresher
	runConfigFollower func(ctx context.Context)
	// tableReader reads tables from other daemons or the store. tableCache is this daemon's
	// copy of them, which relayServer passes to other daemons.
	tableReader *rowstore.ReaderChain
	tableCache  rowstore.TableCache
	relayServer *relay.Server
	// errorLogThrottle limits the rate of log lines about failed calls.
	errorLogThrottle logline.Throttle
	// retryLimitsThrottle limits the log lines about this daemon's part of the retry budget.
	retryLimitsThrottle logline.Throttle
	// directory is the list of all daemons, from which relays are selected. position is this
	// daemon's position in it.
	directory daemonDirectory
	position  atomic.Pointer[daemonPosition]
	// demandMeter measures the demand at this daemon, demandTotals sums the demand at all
	// daemons.
	demandMeter  demand.Meter
	demandTotals demand.Aggregator
	// overloads are the decisions about overload.
	overloads overloads
	// paceRecorder holds how fast servers answer this daemon, and slowdowns the verdicts of all daemons
	// by the IDs of servers.
	paceRecorder pace.Recorder
	slowdowns    atomic.Pointer[map[string]float64]
	// metricsServer is nil if metrics are not served.
	metricsServer *exposition.Server

	// viewMutex serialises updates of the view. Readers load the view without it.
	viewMutex sync.Mutex
	view      atomic.Pointer[gateway.View]
	// serversLoaded and reportsLoaded are set after the first read of the servers' table and of
	// the daemons' reports.
	serversLoaded atomic.Bool
	reportsLoaded atomic.Bool
	// serversEra and reportsEra are the eras of the store in which these tables were last read,
	// storeEra is the newest era in which any table was read.
	serversEra atomic.Int64
	reportsEra atomic.Int64
	storeEra   atomic.Int64
	// configRow is the row of the current configuration, configEra the era in which its table
	// was last read.
	configRow atomic.Pointer[rowstore.Row]
	configEra atomic.Int64
	// storeOutage is the last period in which the configuration or the servers could not be
	// watched, or the daemon list could not be read for the first time.
	storeOutage atomic.Pointer[fleet.Outage]
	// stalledHeads are group heads with stalled requests that wait for a check. reportedStalls
	// are the stalls that daemons have reported.
	stalledHeads   chan fleet.Server
	reportedStalls reportedStalls
	// crashLedger records during which requests servers crashed. pendingReports wait to be
	// written for all daemons.
	crashLedger    quarantine.Ledger
	pendingReports chan report
	// recentReports are reports that the store has committed recently.
	recentReports recentReports
	// serverLimits are the request rates that servers accept from all daemons together.
	// limitReports tracks the reports that daemons exchange about them.
	serverLimits ratelimit.Limiter
	limitReports ratelimit.LimitReports
	// limitLogThrottle limits the rate of log lines about limits.
	limitLogThrottle logline.Throttle
	// viewChanged signals a changed view to the leader.
	viewChanged chan struct{}
	// viewLoaded is set after the first read of the configuration and the servers.
	viewLoaded onceEvent
	// listLoaded is set after the first read of the daemon list, initialised when the daemon is
	// ready for the first time, and readFailed when the configuration or the servers, or the
	// list or reports before their first read, could not be read.
	listLoaded  onceEvent
	initialised onceEvent
	readFailed  onceEvent
	// wasReady is the last result of isReady, for the log.
	wasReady atomic.Bool
	// hasTraffic is set once any daemon has received a client's request since the first start.
	hasTraffic atomic.Bool
	// isLeader is set while this daemon holds the lease and forms groups.
	isLeader atomic.Bool

	cancel context.CancelFunc
	// stopTimeout is the time to stop, in nanoseconds.
	stopTimeout atomic.Int64
	// stopElection ends this daemon's part in the election, and its lease.
	stopElection context.CancelFunc
	tasks        conc.WaitGroup
}

// fraction returns a duration scaled by a factor.
func fraction(total time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(total))
}

// Start starts a daemon with settings that have been checked.
func Start(nodeSettings settings.Settings, log *zap.Logger) (*Daemon, error) {
	return StartWithDialer(nodeSettings, log, tcp.DirectDialer{})
}

// StartWithDialer starts a daemon that connects to backend servers by a dialer.
func StartWithDialer(nodeSettings settings.Settings, log *zap.Logger, dialer tcp.Dialer) (*Daemon, error) {
	d := newDaemon(nodeSettings, log, dialer)
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.run()
	d.serveMetrics()
	log.Info("daemon: started", zap.String("name", nodeSettings.Name), zap.String("zone", nodeSettings.Zone), zap.String("start", d.startID))
	return d, nil
}

// newDaemon returns a daemon that does not listen or run yet.
func newDaemon(nodeSettings settings.Settings, log *zap.Logger, dialer tcp.Dialer) *Daemon {
	nodeSettings = nodeSettings.WithDescriptorLimit(tcp.DescriptorLimit())
	d := &Daemon{
		settings:       nodeSettings,
		log:            log,
		registry:       metrics.NewRegistry(),
		startID:        uuid.NewString(),
		startedAt:      time.Now(),
		direct:         dialer,
		stalledHeads:   make(chan fleet.Server, stallQueueCapacity),
		pendingReports: make(chan report, reportQueueCapacity),
		viewChanged:    make(chan struct{}, 1),
		viewLoaded:     newOnceEvent(),
		listLoaded:     newOnceEvent(),
		initialised:    newOnceEvent(),
		readFailed:     newOnceEvent(),
	}
	d.stopTimeout.Store(int64(nodeSettings.StopTimeout))
	d.initPaths()
	d.engines = platform.NewEngineClient(d.dialer)
	d.bootClock.Suspended = d.suspension.Suspended
	d.storeClock.Clock = d.bootClock
	d.serverLimits.Clock = d.bootClock
	d.configFreshness.Clock = d.bootClock
	d.errorLogThrottle.Interval = errorLogInterval
	d.retryLimitsThrottle.Interval = limitLogInterval
	d.limitLogThrottle.Interval = limitLogInterval
	store := platform.NewStore(nodeSettings.StoreAddress)
	store.OnCall = func(operation string, took time.Duration) {
		metrics.GetOrRegisterCounter("store_calls."+operation, d.registry).Inc(1)
		d.observeDuration("store_call_ms."+operation, took)
	}
	store.OnEraRejected = d.recordRejectedEra
	d.store = store
	d.rowWriter = rowstore.NewBatcher(store, maxCommitRows)
	maxCopyAge := map[string]time.Duration{
		platform.ConfigTable: fraction(nodeSettings.ApplyBound, maxCopyAgeFraction),
	}
	d.tableReader = rowstore.NewReaderChain(store, &d.storeClock, maxCopyAge)
	d.tableReader.BypassesRelays = func(table string) bool {
		return table == platform.ServerTable && d.isLeader.Load()
	}
	d.tableReader.HasPriority = d.isInitialListRead
	d.tableReader.ContenderCount = d.storeReaderCount
	if nodeSettings.IsFirstStart {
		d.tableReader.MinRelayTime = firstStartRelayWait
	}
	d.tableCache.MaxContactAge = maxCopyAge[platform.ConfigTable]
	d.tableCache.Clock = &d.storeClock
	d.tableCache.IsFromFallback = d.tableReader.IsFromFallback
	d.demandTotals.Meter = &d.demandMeter
	d.demandTotals.Zone = nodeSettings.Zone
	d.demandTotals.Paces = d.paceVotes
	d.position.Store(&daemonPosition{})
	d.configSource.Store(new(string))
	d.view.Store(&gateway.View{})
	d.storeOutage.Store(&fleet.Outage{})
	d.initRefresher()
	d.initRetryBudgets()
	return d
}

// listen opens the listeners for clients, the load balancer and other daemons.
func (d *Daemon) listen() error {
	var err error
	d.gateway, err = gateway.Listen(gateway.Options{
		Address:  d.settings.ClientAddress,
		Source:   d,
		Codec:    platform.Codec{},
		Meter:    &d.demandMeter,
		Budgets:  &d.retryBudgets,
		Ledger:   &d.crashLedger,
		Limits:   &d.serverLimits,
		Paces:    &d.paceRecorder,
		Registry: d.registry,
		Log:      d.log,
		Clock:    d.bootClock,
		Dialer:   d.dialer,
		Links:    d.dialer,

		MaxClientConns: d.settings.MaxClientConnections(),
		MemoryBytes:    d.settings.MemoryBytes,
		MaxDeferred:    deferral.LimitsForMemory(int(d.settings.MemoryBytes)),
	})
	if err != nil {
		return err
	}
	d.readiness, err = listenReadiness(d.settings.ReadinessAddress, d.isReady)
	if err != nil {
		return errors.Wrap(err, "start daemon")
	}
	d.tunnels, err = d.listenTunnels()
	if err != nil {
		return errors.Wrap(err, "start daemon")
	}
	d.relayServer, err = relay.Listen(relay.Options{
		Address:         d.settings.RelayAddress,
		Name:            d.settings.Name,
		Reader:          &d.tableCache,
		Aggregator:      &d.demandTotals,
		OnInvalidDemand: d.logRejectedDemand,
		Register:        d.registerDaemon,
		Overview:        d.overview,
	})
	return errors.Wrap(err, "start daemon")
}

// run starts the background tasks, which end when the daemon stops.
func (d *Daemon) run() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	electionCtx, stopElection := context.WithCancel(ctx)
	d.stopElection = stopElection
	elector := d.newElector()
	for _, task := range []func(context.Context){
		d.withFirstStartJitter(d.listFollower().Run),
		d.afterListLoaded(d.maintainRegistration),
		d.afterListLoaded(d.runConfigFollower),
		d.afterListLoaded(d.refresher.Run),
		d.afterListLoaded(d.serverFollower().Run),
		d.afterListLoaded(d.reportFollower().Run),
		d.afterListLoaded(d.leaseFollower(elector).Run),
		d.afterListLoaded(d.runLoadReports),
		d.runStallChecks,
		d.runReportWriter,
		func(context.Context) { elector.Run(electionCtx, d.lead) },
		d.logCounters,
	} {
		d.tasks.Go(func() { task(ctx) })
	}
}

// ClientsAddress returns the IP:port for clients.
func (d *Daemon) ClientsAddress() string {
	return d.gateway.Address()
}

// ReadinessAddress returns the IP:port of the load balancer's readiness probe.
func (d *Daemon) ReadinessAddress() string {
	return d.readiness.address
}

// ReadCounts returns how many calls for tables were sent to the store, including failed ones, and
// how many were answered by other daemons.
func (d *Daemon) ReadCounts() (direct, relayed int64) {
	return d.tableReader.CallCounts()
}

// appliedSettings are the settings whose changes take effect at once.
var appliedSettings = []string{"stop_timeout"}

// Reload applies the settings that may change while the daemon runs, and logs those that take effect after a restart.
func (d *Daemon) Reload(nodeSettings settings.Settings) {
	// The port of metrics is an argument of the command and is not in the file.
	nodeSettings.MetricsAddress = d.settings.MetricsAddress
	d.stopTimeout.Store(int64(nodeSettings.StopTimeout))
	var applied, pending []string
	for _, name := range d.settings.Changes(nodeSettings) {
		if slices.Contains(appliedSettings, name) {
			applied = append(applied, name)
		} else {
			pending = append(pending, name)
		}
	}
	d.log.Info("daemon: settings reloaded",
		zap.String("name", nodeSettings.Name),
		zap.Strings("applied", applied),
		zap.Strings("after_restart", pending))
}
