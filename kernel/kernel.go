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
	evStarted  = event.Declare(100, zerolog.InfoLevel, "process started")
	evStopping = event.Declare(101, zerolog.InfoLevel, "process is stopping")
	evStopped  = event.Declare(102, zerolog.InfoLevel, "process stopped")
	evPanic    = event.Declare(103, zerolog.ErrorLevel, "job panicked")
	evFailed   = event.Declare(104, zerolog.ErrorLevel, "plug-in failed; the process ends")
	evStopLate = event.Declare(105, zerolog.WarnLevel, "plug-in did not stop in time")
)

// Options configures a kernel.
type Options struct {
	// Plugins names the plug-ins to run.
	Plugins []string
	// Settings is the parsed settings file.
	Settings *settings.File
	// Log receives the log lines.
	Log io.Writer
	// Clock is the source of time; nil means the system clock.
	Clock clock.Clock
	// Bootstrap is handed to the plug-ins.
	Bootstrap bool
	// Path is the settings file, which is read again on SIGHUP and when it has
	// changed; empty for settings that never change.
	Path string
}

// Kernel runs the plug-ins of one process. Several kernels can run in one
// operating-system process; they share nothing but the registry.
type Kernel struct {
	instance Instance
	order    []Registration
	plugins  map[string]Plugin
	started  []string
	log      event.Logger
	metrics  *metrics.Set
	pool     *pool.Pool
	clock    clock.Clock
	ctx      context.Context
	cancel   context.CancelFunc
	path     string

	// phase is the phase of the process, such as phaseStarting.
	phase atomic.Int32
	// running is closed when all plug-ins have started, leaving when the stop begins.
	running, leaving chan struct{}
	// reloads holds a request to read the settings again; changed hands new sections
	// to Run.
	reloads chan struct{}
	changed chan []any
	// text is the text of the settings file that New has read.
	text []byte

	mu     *rank.Mutex
	rng    *rand.Rand
	failed chan error
}

// New decodes all settings and builds the plug-ins. It opens nothing.
func New(o Options) (*Kernel, error) {
	k, sections, err := decode(o)
	if err != nil {
		return nil, err
	}
	for i, r := range k.order {
		c := k.context(r.Name, o.Bootstrap)
		c.Settings = sections[i]
		p, err := r.New(c)
		if err != nil {
			k.cancel()
			_ = k.pool.Stop(context.Background())
			return nil, errors.Wrapf(err, "plug-in %s", r.Name)
		}
		k.plugins[r.Name] = p
		k.started = append(k.started, r.Name)
	}
	return k, nil
}

// Check decodes and validates the settings without building any plug-in.
func Check(o Options) error {
	k, _, err := decode(o)
	if err != nil {
		return err
	}
	k.cancel()
	return k.pool.Stop(context.Background())
}

// CheckFiles runs the checks of all plug-ins on what their settings name.
func CheckFiles(o Options) error {
	k, sections, err := decode(o)
	if err != nil {
		return err
	}
	k.cancel()
	if err := k.pool.Stop(context.Background()); err != nil {
		return err
	}
	for i, r := range k.order {
		if r.Check == nil {
			continue
		}
		if err := r.Check(&k.instance, sections[i]); err != nil {
			return o.Settings.Locate(err)
		}
	}
	return nil
}

func decode(o Options) (*Kernel, []any, error) {
	order, err := startOrder(o.Plugins)
	if err != nil {
		return nil, nil, err
	}
	in := DefaultInstance()
	if err := o.Settings.Decode("instance", &in); err != nil {
		return nil, nil, err
	}
	level, err := zerolog.ParseLevel(in.LogLevel)
	if err != nil {
		return nil, nil, errors.Newf("instance/log_level: %q is not a level", in.LogLevel)
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
	if err := o.Settings.Unknown(known); err != nil {
		return nil, nil, err
	}
	return newKernel(o, in, level, order), sections, nil
}

func newKernel(o Options, in Instance, level zerolog.Level, order []Registration) *Kernel {
	k := &Kernel{
		instance: in, order: order, plugins: map[string]Plugin{},
		log: event.NewLogger(o.Log, level).With("instance", in.Name), metrics: metrics.NewSet(),
		clock: o.Clock, path: o.Path, mu: rank.New(rank.Kernel), failed: make(chan error, 1),
		running: make(chan struct{}), leaving: make(chan struct{}), reloads: make(chan struct{}, 1), changed: make(chan []any),
		text: o.Settings.Source(),
	}
	if k.clock == nil {
		k.clock = clock.System{}
	}
	seed := in.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	k.rng = rand.New(rand.NewPCG(seed, 0))
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.pool = pool.New(pool.Options{
		Workers: in.Workers, Queue: pool.NewKeyedFIFO(in.QueueJobs), Now: k.clock.Now, OnPanic: k.jobPanicked,
	})
	k.metrics.NewGauge("celeryyard_pool_queued_jobs", func() float64 {
		queued, _ := k.pool.Len()
		return float64(queued)
	})
	return k
}

func (k *Kernel) context(name string, bootstrap bool) *Context {
	return &Context{
		Name: name, Instance: k.instance, Log: k.log.With("plugin", name), Metrics: k.metrics,
		Pool: k.pool, Clock: k.clock, Bootstrap: bootstrap || k.instance.Bootstrap, k: k,
	}
}

// Run starts the plug-ins, gives them changed settings until ctx ends or a plug-in fails,
// and stops them in reverse order. It returns the failure, or nil after a requested stop.
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
	if late := k.stop(err == nil); err == nil {
		err = late
	}
	return err
}

// serve waits until ctx ends or a plug-in fails, and returns the failure.
func (k *Kernel) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-k.failed:
			return err
		case sections := <-k.changed:
			k.apply(sections)
		}
	}
}

// Service returns a running plug-in by name, for programs that embed a kernel.
func (k *Kernel) Service(name string) Plugin { return k.plugins[name] }

// Metrics returns the metrics of the process.
func (k *Kernel) Metrics() *metrics.Set { return k.metrics }

func (k *Kernel) start() error {
	all := k.started
	for i, name := range all {
		if err := k.plugins[name].Start(k.ctx); err != nil {
			k.started = all[:i]
			return errors.Wrapf(err, "plug-in %s", name)
		}
	}
	return nil
}

// stop ends the plug-ins in reverse order. A planned stop drains first. A failure
// meanwhile ends the drain, but not the stop; stop logs and returns it.
func (k *Kernel) stop(planned bool) error {
	k.phase.Store(phaseStopping)
	close(k.leaving)
	k.log.Log(evStopping).Send()
	ctx, cancel := context.WithTimeout(context.Background(), k.instance.StopTimeout.D())
	defer cancel()
	if planned {
		k.drain()
	}
	for i := len(k.started) - 1; i >= 0; i-- {
		name := k.started[i]
		if err := k.plugins[name].Stop(ctx); err != nil {
			k.log.Log(evStopLate).Str("stopped_plugin", name).Err(err).Send()
		}
	}
	k.cancel()
	if err := k.pool.Stop(ctx); err != nil {
		k.log.Log(evStopLate).Str("stopped_plugin", "pool").Err(err).Send()
	}
	var failure error
	select {
	case failure = <-k.failed:
		k.log.Log(evFailed).Err(failure).Send()
	default:
	}
	k.log.Log(evStopped).Send()
	return failure
}

// drain tells the plug-ins that the process leaves and lets it serve on for
// DrainTime, so that callers and other processes have moved away when the
// plug-ins stop. A failure ends it early.
func (k *Kernel) drain() {
	for _, name := range k.started {
		if d, ok := k.plugins[name].(Drainer); ok {
			d.Drain()
		}
	}
	timer := time.NewTimer(k.instance.DrainTime.D())
	defer timer.Stop()
	select {
	case err := <-k.failed:
		k.fail(err) // stop reports it
	case <-timer.C:
	}
}

func (k *Kernel) fail(err error) {
	select {
	case k.failed <- err:
	default: // an earlier failure already ends the program
	}
}

// jobPanicked reports a panic of a job and ends the process: the tables that
// the job worked on may be half changed.
func (k *Kernel) jobPanicked(value any, stack []byte) {
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
