package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"

	"github.com/celeryyard/celeryyard/kernel"
	"github.com/celeryyard/celeryyard/kernel/settings"
)

// stopLimit bounds the stop of one kernel, beyond its own stop timeout.
const stopLimit = 35 * time.Second

// ip is the loopback address of this process's listeners. Outgoing connections
// have the source 127.0.0.1 and other runs have other addresses, so neither takes
// a port between its choice and its use.
var ip = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, 1+os.Getpid()&0xff%254)

// env is what a scenario works with. It belongs to one goroutine.
type env struct {
	ctx      context.Context
	s        *Settings
	scenario string
	dir      string
	log      io.Writer
	rows     []Row
	taken    map[string]bool
}

// add reports a figure.
func (e *env) add(kase, variant, figure string, value float64, unit string, limit float64, samples int) {
	e.rows = append(e.rows, Row{
		Scenario: e.scenario, Case: kase, Variant: variant, Figure: figure, Value: value, Unit: unit, Limit: limit, Samples: samples,
	})
}

// address returns a free loopback address that no call returned before.
func (e *env) address() string {
	if e.taken == nil {
		e.taken = map[string]bool{}
	}
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			break
		}
		a := l.Addr().String()
		_ = l.Close()
		if !e.taken[a] {
			e.taken[a] = true
			return a
		}
	}
	return ip + ":0" // the listener's own error tells more
}

// sleep waits for d and returns an error when the run is being stopped.
func (e *env) sleep(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// until calls ok every few milliseconds until it returns true.
func (e *env) until(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if ok() {
			return nil
		}
		if err := e.sleep(5 * time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Newf("not within %v: %s", limit, what)
}

// process is a kernel that stands for one process of the fleet.
type process struct {
	name    string
	plugins []string
	text    []byte
	log     io.Writer
	kernel  *kernel.Kernel
	cancel  context.CancelFunc
	done    chan error
}

func (e *env) process(name string, plugins []string, sections map[string]any) (*process, error) {
	text, err := json.Marshal(sections)
	if err != nil {
		return nil, errors.Wrapf(err, "settings of %s", name)
	}
	return &process{name: name, plugins: plugins, text: text, log: e.log}, nil
}

// start builds and runs the kernel; before is called between the two.
func (p *process) start(bootstrap bool, before func(k *kernel.Kernel)) error {
	file, err := settings.Parse(p.name, p.text)
	if err != nil {
		return err
	}
	k, err := kernel.New(kernel.Options{Plugins: p.plugins, Settings: file, Log: p.log, Bootstrap: bootstrap})
	if err != nil {
		return errors.Wrap(err, p.name)
	}
	if before != nil {
		before(k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.kernel, p.cancel, p.done = k, cancel, make(chan error, 1)
	done := p.done
	go func() { done <- k.Run(ctx) }()
	return nil
}

// stop stops the kernel gracefully and waits for it. It does nothing for a
// process that does not run.
func (p *process) stop() error {
	if p.kernel == nil {
		return nil
	}
	p.cancel()
	p.kernel = nil
	select {
	case err := <-p.done:
		return errors.Wrap(err, p.name)
	case <-time.After(stopLimit):
		return errors.Newf("%s did not stop", p.name)
	}
}

// service returns the interface T of a plug-in of a running process.
func service[T any](p *process, plugin string) (T, error) {
	var none T
	if p.kernel == nil {
		return none, errors.Newf("%s does not run", p.name)
	}
	s, ok := p.kernel.Service(plugin).(T)
	if !ok {
		return none, errors.Newf("%s: plug-in %s does not implement %s", p.name, plugin, fmt.Sprintf("%T", &none))
	}
	return s, nil
}
