package kernel

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/celeryyard/celeryyard/kernel/clock"
	"github.com/celeryyard/celeryyard/kernel/event"
	"github.com/celeryyard/celeryyard/kernel/pool"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// Instance is the settings section that every process has.
type Instance struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// AvailabilityZone is the availability zone of the process; nodes prefer control instances of
	// their own zone.
	AvailabilityZone string `json:"availability_zone"`
	// Region is the region of the availability zone.
	Region string `json:"region"`
	// DataFolder is the folder for all files of the process; empty on instances without a disk.
	DataFolder string `json:"data_folder"`
	// FleetKeyFile is the path of the file with the key that all processes of the fleet share.
	FleetKeyFile string `json:"fleet_key_file"`
	// LogLevel is one of debug, info, warn, error.
	LogLevel string `json:"log_level"`
	// Workers is the number of workers of the kernel's pool.
	Workers int `json:"workers"`
	// QueueJobs is the maximum number of jobs that wait in the kernel's pool. While the
	// queue is full, goroutines for I/O and timers wait before they add a job, and a job that
	// adds a job gets an error.
	QueueJobs int `json:"queue_jobs"`
	// Seed makes random choices reproducible; with 0 each start uses a new random seed.
	Seed uint64 `json:"seed"`
	// StopTimeout is the maximum duration of a graceful stop, including DrainTime. After it,
	// the process exits without waiting for plug-ins and jobs that have not ended.
	StopTimeout settings.Duration `json:"stop_timeout"`
	// StopGrace is the time after which the platform kills a stopping process. If it is set, the
	// process exits shortly before, and StopTimeout has no effect.
	StopGrace settings.Duration `json:"stop_grace"`
	// DrainTime is how long a stopping process continues to serve after it has announced
	// that it is leaving; with 0 it stops at once.
	DrainTime settings.Duration `json:"drain_time"`
	// GCPercent is the heap growth, in percent, that triggers the next garbage collection;
	// lower values use less memory and more CPU time.
	GCPercent int `json:"gc_percent"`
	// MemoryMB is the memory that the process may use, in MiB; 0 if there is no limit. When the memory of the Go runtime
	// approaches two fifths of it, garbage is collected more often than GCPercent says, for up to half of the CPU time.
	MemoryMB float64 `json:"memory_mb"`
	// Bootstrap allows a control instance with an empty data folder to form a new
	// group of voters; it has the same effect as the flag --bootstrap.
	Bootstrap bool `json:"bootstrap"`
}

// stopGraceFraction is the fraction of StopGrace that a stop may take. The rest is for the exit itself.
const stopGraceFraction = 0.95

// runtimeMemoryShare is the share of the memory above which the runtime collects garbage more often. The resident memory is
// to stay below half; that of the program itself and of peaks between two collections is added.
const runtimeMemoryShare = 0.4

// runtimeMemoryLimit returns the limit of the runtime in bytes; 0 for none.
func (i *Instance) runtimeMemoryLimit() int64 {
	return int64(i.MemoryMB * (1 << 20) * runtimeMemoryShare)
}

// maxStopTime returns the maximum duration of a stop.
func (i *Instance) maxStopTime() time.Duration {
	if i.StopGrace > 0 {
		return time.Duration(stopGraceFraction * float64(i.StopGrace))
	}
	return i.StopTimeout.AsDuration()
}

// DefaultInstance returns the default values of the section "instance".
func DefaultInstance() Instance {
	return Instance{
		LogLevel: "info", GCPercent: 100, Workers: 4, QueueJobs: 16384,
		StopTimeout: settings.Duration(30 * time.Second),
	}
}

// Validate implements settings.Validator.
func (i *Instance) Validate() error {
	switch {
	case i.Name == "":
		return settings.FieldErrorf("name", "must not be empty")
	case i.GCPercent < 10 || i.GCPercent > 1000:
		return settings.FieldErrorf("gc_percent", "%d is outside 10..1000", i.GCPercent)
	case i.MemoryMB < 0 || i.MemoryMB > 1<<20:
		return settings.FieldErrorf("memory_mb", "%v is outside 0..1048576", i.MemoryMB)
	case i.Workers < 1 || i.Workers > 1024:
		return settings.FieldErrorf("workers", "%d is outside 1..1024", i.Workers)
	case i.QueueJobs < 16 || i.QueueJobs > 1<<20:
		return settings.FieldErrorf("queue_jobs", "%d is outside 16..1048576", i.QueueJobs)
	}
	return nil
}

// Context gives a plug-in access to its settings and to the services of the kernel.
type Context struct {
	// Name is the name of the plug-in.
	Name string
	// Instance is the settings section "instance", common to all plug-ins.
	Instance Instance
	// Settings is the decoded section of the plug-in, of the type that
	// Registration.Settings returns.
	Settings any
	// Log adds the names of the instance and of the plug-in to each line.
	Log event.Logger
	// Metrics is the metrics set of the process; names start with "celeryyard_".
	Metrics *metrics.Set
	// Pool is the kernel's worker pool, which runs the jobs of a key in order. Jobs must
	// not block on the network.
	Pool *pool.Pool
	// Clock is the kernel's clock, which tests can replace.
	Clock clock.Clock
	// Bootstrap is true if the process was started to form a new group of voters.
	Bootstrap bool

	kernel *Kernel
}

// NewRand returns a new random number generator, seeded from the instance's seed. It is
// not safe for concurrent use.
func (c *Context) NewRand() *rand.Rand { return c.kernel.newRand() }

// Fail ends the program with err. It may be called from any goroutine.
func (c *Context) Fail(err error) { c.kernel.fail(errors.Wrap(err, c.Name)) }

// IsStopping reports whether the program has begun to stop its plug-ins.
func (c *Context) IsStopping() bool { return c.kernel.phase.Load() == phaseStopping }

// StopSchedule returns the schedule of the planned stop, and false before the stop.
func (c *Context) StopSchedule() (StopSchedule, bool) {
	if s := c.kernel.stopSchedule.Load(); s != nil {
		return *s, true
	}
	return StopSchedule{}, false
}

// NextStop returns the schedule of the planned stop, or, before it, that of one that would begin now.
func (c *Context) NextStop(now time.Time) StopSchedule {
	if s, stopping := c.StopSchedule(); stopping {
		return s
	}
	return newStopSchedule(now, &c.Instance)
}

// Stopping returns a channel that is closed when the stop begins. StopSchedule returns its schedule by then.
func (c *Context) Stopping() <-chan struct{} { return c.kernel.stopping }

// RequestReload makes the program read its settings file again, as SIGHUP does. It does not block.
func (c *Context) RequestReload() { c.kernel.requestReload() }

// Server is a server of HTTP. Its Serve returns http.ErrServerClosed after it was shut down.
type Server interface {
	Serve(l net.Listener) error
}

// Serve serves HTTP on l in a new goroutine until the server is shut down. If the
// server ends for any other reason, the program ends.
func (c *Context) Serve(s Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.Fail(err)
		}
	}()
}

// Go queues a job for the pool. It blocks while the queue is full, so it must be called from I/O
// goroutines and timers only, not from jobs. It returns false if the pool is stopped and the job
// will not run.
func (c *Context) Go(key string, run func()) bool {
	err := c.Pool.Submit(c.kernel.ctx, &pool.Job{Key: key, Run: run})
	return err == nil
}

// TryGo queues a job without blocking, so that it can be called from within another
// job. It returns pool.ErrFull if the queue is full.
func (c *Context) TryGo(key string, run func()) error {
	return c.Pool.TrySubmit(&pool.Job{Key: key, Run: run})
}

// RunEvery runs a job periodically until the kernel stops, the first time after one
// interval. Each further run is scheduled one interval after the end of the previous run.
func (c *Context) RunEvery(key string, interval time.Duration, run func()) {
	var schedule func()
	schedule = func() {
		ok := c.Go(key, func() {
			run()
			if c.kernel.ctx.Err() == nil {
				c.Clock.AfterFunc(interval, schedule)
			}
		})
		_ = ok // once the pool is stopped, no further run is scheduled
	}
	c.Clock.AfterFunc(interval, schedule)
}

// RunAfter runs a job once after d, unless the returned timer is stopped first.
func (c *Context) RunAfter(d time.Duration, key string, run func()) clock.Timer {
	return c.Clock.AfterFunc(d, func() { c.Go(key, run) })
}

// MustFind returns the plug-in called name as a T. It panics if that plug-in has not been
// built yet or does not implement T. Both are programming errors that show as soon as the
// program starts. A plug-in that is listed in Registration.Needs has always been built.
func MustFind[T any](c *Context, name string) T {
	service, ok := Find[T](c, name)
	if !ok {
		panic(fmt.Sprintf("plug-in %q uses %q, which has not been built yet", c.Name, name))
	}
	return service
}

// Find returns the plug-in called name as a T, and false if it has not been built. It
// panics if the plug-in does not implement T.
func Find[T any](c *Context, name string) (T, bool) {
	var zero T
	p, ok := c.kernel.plugins[name]
	if !ok {
		return zero, false
	}
	service, ok := p.(T)
	if !ok {
		panic(fmt.Sprintf("plug-in %q does not implement %T", name, &zero))
	}
	return service, true
}

// FindAll returns the plug-ins that have been built so far and implement T, in the order in
// which they were built.
func FindAll[T any](c *Context) []T {
	var list []T
	for _, name := range c.kernel.pluginOrder {
		if s, ok := c.kernel.plugins[name].(T); ok {
			list = append(list, s)
		}
	}
	return list
}
