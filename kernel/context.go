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
	// AvailabilityZone and Region say where the process runs.
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// DataFolder holds all files of the process; empty on instances without a disk.
	DataFolder string `json:"data_folder"`
	// FleetKeyFile holds the key shared by the processes of the fleet.
	FleetKeyFile string `json:"fleet_key_file"`
	// LogLevel is one of debug, info, warn, error.
	LogLevel string `json:"log_level"`
	// Workers is the number of workers of the kernel's pool.
	Workers int `json:"workers"`
	// QueueJobs bounds the queue of the kernel's pool.
	QueueJobs int `json:"queue_jobs"`
	// Seed makes random choices repeatable; 0 takes a new seed.
	Seed uint64 `json:"seed"`
	// StopTimeout bounds a graceful stop, DrainTime included.
	StopTimeout settings.Duration `json:"stop_timeout"`
	// DrainTime is how long a stopping process goes on serving after it has told
	// others that it leaves; 0 stops at once.
	DrainTime settings.Duration `json:"drain_time"`
	// GCPercent is the growth of the heap between two garbage collections; lower
	// values use less memory and more processor time.
	GCPercent int `json:"gc_percent"`
	// Bootstrap allows a control instance with an empty data folder to form a new
	// group of voters, like the flag --bootstrap.
	Bootstrap bool `json:"bootstrap"`
}

// DefaultInstance returns the defaults of the section "instance".
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
		return settings.Invalid("name", "must not be empty")
	case i.GCPercent < 10 || i.GCPercent > 1000:
		return settings.Invalid("gc_percent", "%d is outside 10..1000", i.GCPercent)
	case i.Workers < 1 || i.Workers > 1024:
		return settings.Invalid("workers", "%d is outside 1..1024", i.Workers)
	case i.QueueJobs < 16 || i.QueueJobs > 1<<20:
		return settings.Invalid("queue_jobs", "%d is outside 16..1048576", i.QueueJobs)
	}
	return nil
}

// Context is what the kernel gives a plug-in.
type Context struct {
	// Name is the name of the plug-in.
	Name string
	// Instance is the common settings section.
	Instance Instance
	// Settings is the decoded section, of the type that Registration.Settings returns.
	Settings any
	Log      event.Logger
	// Metrics belongs to the process; names start with "celeryyard_".
	Metrics *metrics.Set
	// Pool is the kernel's pool with keyed order. Its jobs must not block on the network.
	Pool  *pool.Pool
	Clock clock.Clock
	// Bootstrap tells that the process was started to form a new group of voters.
	Bootstrap bool

	k *Kernel
}

// Rand returns a new generator, seeded from the instance's seed. It is not
// safe for concurrent use.
func (c *Context) Rand() *rand.Rand { return c.k.newRand() }

// Fail ends the program with err. It may be called from any goroutine.
func (c *Context) Fail(err error) { c.k.fail(errors.Wrap(err, c.Name)) }

// Stopping reports whether the program has begun to stop its plug-ins.
func (c *Context) Stopping() bool { return c.k.phase.Load() == phaseStopping }

// Serve serves HTTP on l in a goroutine of its own until the server is shut
// down. Any other end of the server ends the program.
func (c *Context) Serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			c.Fail(err)
		}
	}()
}

// ListenHTTP serves s on address, IP:port, until the server is shut down; an empty
// address serves nothing. purpose stands in the error when listening fails.
func (c *Context) ListenHTTP(s *http.Server, address, purpose string) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, purpose)
	}
	c.Serve(s, l)
	return nil
}

// Go runs a job on the pool. A full queue makes Go wait; it must therefore be
// called by I/O goroutines and timers, not by jobs. It returns false when the
// pool is stopped and the job will not run.
func (c *Context) Go(key string, run func()) bool {
	err := c.Pool.Submit(c.k.ctx, &pool.Job{Key: key, Run: run})
	return err == nil
}

// Next queues a job from within another job, without waiting. It returns
// pool.ErrFull when the queue is full.
func (c *Context) Next(key string, run func()) error {
	return c.Pool.TrySubmit(&pool.Job{Key: key, Run: run})
}

// Every runs a job each interval, the first time after one interval, until the
// kernel stops. A run starts only after the one before has ended.
func (c *Context) Every(key string, interval time.Duration, run func()) {
	var again func()
	again = func() {
		ok := c.Go(key, func() {
			run()
			if c.k.ctx.Err() == nil {
				c.Clock.AfterFunc(interval, again)
			}
		})
		_ = ok // a stopped pool ends the repetition
	}
	c.Clock.AfterFunc(interval, again)
}

// After runs a job once after d unless the returned timer is stopped before.
func (c *Context) After(d time.Duration, key string, run func()) clock.Timer {
	return c.Clock.AfterFunc(d, func() { c.Go(key, run) })
}

// Use returns the service T that the plug-in name provides. It panics when the
// plug-in is not among Registration.Needs or does not implement T, which is an
// error of the program and shows on its first start.
func Use[T any](c *Context, name string) T {
	s, ok := Find[T](c, name)
	if !ok {
		panic(fmt.Sprintf("plug-in %q uses %q, which is not built before it", c.Name, name))
	}
	return s
}

// Find returns the service T of the plug-in name if the program has it.
func Find[T any](c *Context, name string) (T, bool) {
	var none T
	p, ok := c.k.plugins[name]
	if !ok {
		return none, false
	}
	s, ok := p.(T)
	if !ok {
		panic(fmt.Sprintf("plug-in %q does not implement %T", name, &none))
	}
	return s, true
}

// All returns every plug-in built so far that implements T, in start order.
func All[T any](c *Context) []T {
	var list []T
	for _, name := range c.k.started {
		if s, ok := c.k.plugins[name].(T); ok {
			list = append(list, s)
		}
	}
	return list
}
