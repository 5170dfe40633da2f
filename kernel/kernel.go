package kernel

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/rank"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

var (
	evStarted     = event.Declare(100, zerolog.InfoLevel, "process started")
	evStopping    = event.Declare(101, zerolog.InfoLevel, "process is stopping")
	evStopped     = event.Declare(102, zerolog.InfoLevel, "process stopped")
	evPanic       = event.Declare(103, zerolog.ErrorLevel, "job panicked")
	evFailed      = event.Declare(104, zerolog.ErrorLevel, "plug-in failed; the process ends")
	evStopTimeout = event.Declare(105, zerolog.WarnLevel, "plug-in did not stop in time")
)

// Options configures a Kernel.
type Options struct {
	// Plugins lists the names of the plug-ins to run.
	Plugins []string
	// Settings is the parsed settings file.
	Settings *settings.File
	// Log is the destination of the log lines.
	Log io.Writer
	// Clock provides the time and timers; nil means the system clock.
	Clock clock.Clock
	// Bootstrap is passed to the plug-ins in Context.Bootstrap.
	Bootstrap bool
	// SettingsPath is the path of the settings file, which is reloaded on SIGHUP and when
	// its content changes.
	SettingsPath string
}

// Kernel runs a set of plug-ins. Several kernels can run in one operating system
// process; they share only the registry.
type Kernel struct {
	instance      Instance
	registrations []Registration
	plugins       map[string]Plugin
	// pluginOrder lists the plug-ins in the order in which they are built and started. If one
	// fails to start, the list is cut before it, so that only those that have started are stopped.
	pluginOrder  []string
	log          event.Logger
	metrics      *metrics.Set
	pool         *pool.Pool
	clock        clock.Clock
	ctx          context.Context
	cancel       context.CancelFunc
	settingsPath string

	// phase is the lifecycle phase of the kernel, such as phaseStarting.
	phase atomic.Int32
	// stopSchedule is nil before the stop.
	stopSchedule atomic.Pointer[StopSchedule]
	// running is closed when all plug-ins have started. stopping is closed when the stop begins.
	running, stopping chan struct{}
	// reloadRequests holds at most one pending request to reload the settings.
	reloadRequests chan struct{}
	// newSections passes the reloaded sections to Run.
	newSections chan []any
	// settingsText is the text of the settings file that New decoded.
	settingsText []byte

	// mu guards rng.
	mu  *rank.Mutex
	rng *rand.Rand
	// failures holds the first failure of a plug-in or job until Run reads it.
	failures chan error
}

// New decodes all settings and builds the plug-ins. It opens no files or sockets.
func New(o Options) (*Kernel, error) {
	k, sections, err := newWithoutPlugins(o)
	if err != nil {
		return nil, err
	}
	for i, r := range k.registrations {
		c := k.newContext(r.Name, o.Bootstrap)
		c.Settings = sections[i]
		p, err := r.New(c)
		if err != nil {
			k.cancel()
			_ = k.pool.Stop(context.Background())
			return nil, errors.Wrapf(err, "plug-in %s", r.Name)
		}
		k.plugins[r.Name] = p
		k.pluginOrder = append(k.pluginOrder, r.Name)
	}
	return k, nil
}

// CheckSettings decodes and validates the settings without building the plug-ins.
func CheckSettings(o Options) error {
	k, _, err := newWithoutPlugins(o)
	if err != nil {
		return err
	}
	k.cancel()
	return k.pool.Stop(context.Background())
}

// CheckFiles decodes and validates the settings, and then lets each plug-in verify the files
// that its settings name.
func CheckFiles(o Options) error {
	k, sections, err := newWithoutPlugins(o)
	if err != nil {
		return err
	}
	k.cancel()
	if err := k.pool.Stop(context.Background()); err != nil {
		return err
	}
	for i, r := range k.registrations {
		if r.CheckFiles == nil {
			continue
		}
		if err := r.CheckFiles(&k.instance, sections[i]); err != nil {
			return o.Settings.AddLocation(err)
		}
	}
	return nil
}

func newWithoutPlugins(o Options) (*Kernel, []any, error) {
	order, err := sortByDependencies(o.Plugins)
	if err != nil {
		return nil, nil, err
	}
	instance := DefaultInstance()
	if err := o.Settings.Decode("instance", &instance); err != nil {
		return nil, nil, err
	}
	level, err := zerolog.ParseLevel(instance.LogLevel)
	if err != nil {
		return nil, nil, errors.Newf("instance/log_level: %q is not a log level", instance.LogLevel)
	}
	known := map[string]bool{"instance": true}
	sections := make([]any, len(order))
	for i, r := range order {
		known[r.Name] = true
		if r.Settings == nil {
			continue
		}
		sections[i] = r.Settings()
		if err := o.Settings.Decode(r.Name, sections[i]); err != nil {
			return nil, nil, err
		}
	}
	if err := o.Settings.RejectUnknownSections(known); err != nil {
		return nil, nil, err
	}
	return newKernel(o, instance, level, order), sections, nil
}

func newKernel(o Options, instance Instance, level zerolog.Level, order []Registration) *Kernel {
	k := &Kernel{
		instance: instance, registrations: order, plugins: map[string]Plugin{},
		log: event.NewLogger(o.Log, level).With("instance", instance.Name), metrics: metrics.NewSet(),
		clock: o.Clock, settingsPath: o.SettingsPath, mu: rank.NewMutex(rank.Kernel), failures: make(chan error, 1),
		running: make(chan struct{}), stopping: make(chan struct{}), reloadRequests: make(chan struct{}, 1), newSections: make(chan []any),
		settingsText: o.Settings.Source(),
	}
	if k.clock == nil {
		k.clock = clock.System{}
	}
	seed := instance.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	k.rng = rand.New(rand.NewPCG(seed, 0))
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.pool = pool.New(pool.Options{
		Workers: instance.Workers, Queue: pool.NewKeyedFIFO(instance.QueueJobs), Now: k.clock.Now, OnPanic: k.handleJobPanic,
	})
	k.metrics.NewGauge("celeryyard_pool_queued_jobs", func() float64 {
		queued, _ := k.pool.Len()
		return float64(queued)
	})
	return k
}

func (k *Kernel) newContext(name string, bootstrap bool) *Context {
	return &Context{
		Name: name, Instance: k.instance, Log: k.log.With("plugin", name), Metrics: k.metrics,
		Pool: k.pool, Clock: k.clock, Bootstrap: bootstrap || k.instance.Bootstrap, kernel: k,
	}
}

// Run starts the plug-ins, passes them reloaded settings until ctx ends or a plug-in
// fails, and stops them in reverse order. It returns the error of the first failure, or
// nil after a planned stop without failures.
func (k *Kernel) Run(ctx context.Context) error {
	err := k.start()
	if err == nil {
		k.phase.Store(phaseRunning)
		close(k.running)
		k.log.Log(evStarted).Str("availability_zone", k.instance.AvailabilityZone).Send()
		err = k.serve(ctx)
	}
	if err != nil {
		k.log.Log(evFailed).Err(err).Send()
	}
	if stopErr := k.stop(err == nil); err == nil {
		err = stopErr
	}
	return err
}

// serve applies reloaded settings. It returns nil when ctx ends, and the error when a
// plug-in fails.
func (k *Kernel) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-k.failures:
			return err
		case sections := <-k.newSections:
			k.applySections(sections)
		}
	}
}

// Plugin returns the plug-in called name, or nil if the kernel does not have it. It is
// meant for programs that embed a kernel.
func (k *Kernel) Plugin(name string) Plugin { return k.plugins[name] }

// Metrics returns the metrics of the process.
func (k *Kernel) Metrics() *metrics.Set { return k.metrics }

func (k *Kernel) start() error {
	names := k.pluginOrder
	for i, name := range names {
		if err := k.plugins[name].Start(k.ctx); err != nil {
			k.pluginOrder = names[:i]
			return errors.Wrapf(err, "plug-in %s", name)
		}
	}
	return nil
}

// stop stops the plug-ins in reverse order, after a drain if the stop is planned. A failure
// of a plug-in during the stop ends the drain early, but not the stop itself; stop logs the
// failure and returns it.
func (k *Kernel) stop(planned bool) error {
	schedule := newStopSchedule(time.Now(), &k.instance)
	k.stopSchedule.Store(&schedule)
	k.phase.Store(phaseStopping)
	close(k.stopping)
	k.log.Log(evStopping).Send()
	ctx, cancel := context.WithDeadline(context.Background(), schedule.Deadline)
	defer cancel()
	if planned {
		k.drain()
	}
	for i := len(k.pluginOrder) - 1; i >= 0; i-- {
		name := k.pluginOrder[i]
		if err := k.plugins[name].Stop(ctx); err != nil {
			k.log.Log(evStopTimeout).Str("stopped_plugin", name).Err(err).Send()
		}
	}
	k.cancel()
	if err := k.pool.Stop(ctx); err != nil {
		k.log.Log(evStopTimeout).Str("stopped_plugin", "pool").Err(err).Send()
	}
	var failErr error
	select {
	case failErr = <-k.failures:
		k.log.Log(evFailed).Err(failErr).Send()
	default:
	}
	k.log.Log(evStopped).Send()
	return failErr
}

// drain notifies the plug-ins of the coming stop and then waits for DrainTime while they
// continue to serve, so that callers and other processes have stopped using this
// process before the plug-ins stop. A failure ends the wait early.
func (k *Kernel) drain() {
	for _, name := range k.pluginOrder {
		if d, ok := k.plugins[name].(Drainer); ok {
			d.Drain()
		}
	}
	timer := time.NewTimer(k.instance.DrainTime.AsDuration())
	defer timer.Stop()
	select {
	case err := <-k.failures:
		k.fail(err) // stop returns it
	case <-timer.C:
	}
}

func (k *Kernel) fail(err error) {
	select {
	case k.failures <- err:
	default: // an earlier failure already ends the program
	}
}

// handleJobPanic logs a panic in a job and ends the process, because the job may have
// left tables in an inconsistent state.
func (k *Kernel) handleJobPanic(value any, stack []byte) {
	err := errors.Newf("job panicked: %v", value)
	k.log.Log(evPanic).Err(err).Str("stack", string(stack)).Send()
	k.fail(err)
}

func (k *Kernel) newRand() *rand.Rand {
	k.mu.Lock()
	defer k.mu.Unlock()
	return rand.New(rand.NewPCG(k.rng.Uint64(), k.rng.Uint64()))
}

// Now returns the time of the kernel's clock.
func (k *Kernel) Now() time.Time { return k.clock.Now() }
