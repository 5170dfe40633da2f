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

// stopTimeout bounds the stop of one kernel; it exceeds the kernel's own stop timeout.
const stopTimeout = 35 * time.Second

// loopbackIP is the loopback address of this process's listeners. Outgoing connections use 127.0.0.1,
// and other runs use different loopback addresses. Therefore no outgoing connection and no other run
// can take a port after freeAddress has chosen it and before its listener opens it.
var loopbackIP = fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>16&0x3f, os.Getpid()>>8&0xff, 1+os.Getpid()&0xff%254)

// env is the environment of a running scenario. It is used by one goroutine only.
type env struct {
	ctx      context.Context
	s        *Settings
	scenario string
	// dir is the temporary folder of the scenario.
	dir string
	// log receives the logs of all kernels that have no log writer of their own.
	log           io.Writer
	rows          []Row
	usedAddresses map[string]bool
}

// addFigure adds a measured figure to the result.
func (e *env) addFigure(caseName, variant, figure string, value float64, unit string, limit float64, samples int) {
	e.rows = append(e.rows, Row{
		Scenario: e.scenario, Case: caseName, Variant: variant, Figure: figure, Value: value, Unit: unit, Limit: limit, Samples: samples,
	})
}

// freeAddress returns a free loopback address IP:port that no earlier call has returned.
func (e *env) freeAddress() string {
	if e.usedAddresses == nil {
		e.usedAddresses = map[string]bool{}
	}
	for range 100 {
		l, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			break
		}
		a := l.Addr().String()
		_ = l.Close()
		if !e.usedAddresses[a] {
			e.usedAddresses[a] = true
			return a
		}
	}
	return loopbackIP + ":0" // the process that is to listen there reports the error
}

// sleep waits for d. If the run is stopped earlier, it returns an error at once.
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

// waitUntil polls ok every few milliseconds until ok returns true. After the timeout it returns an
// error that names the condition.
func (e *env) waitUntil(timeout time.Duration, condition string, ok func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if ok() {
			return nil
		}
		if err := e.sleep(5 * time.Millisecond); err != nil {
			return err
		}
	}
	return errors.Newf("not within %v: %s", timeout, condition)
}

// process is a program of the fleet, run as a kernel inside this process.
type process struct {
	name         string
	plugins      []string
	settingsJSON []byte
	log          io.Writer
	kernel       *kernel.Kernel
	cancel       context.CancelFunc
	runResult    chan error
}

func (e *env) newProcess(name string, plugins []string, sections map[string]any) (*process, error) {
	text, err := json.Marshal(sections)
	if err != nil {
		return nil, errors.Wrapf(err, "settings of %s", name)
	}
	return &process{name: name, plugins: plugins, settingsJSON: text, log: e.log}, nil
}

// start creates the kernel, calls beforeRun with it, and runs it. beforeRun may be nil.
func (p *process) start(bootstrap bool, beforeRun func(k *kernel.Kernel)) error {
	file, err := settings.Parse(p.name, p.settingsJSON)
	if err != nil {
		return err
	}
	k, err := kernel.New(kernel.Options{Plugins: p.plugins, Settings: file, Log: p.log, Bootstrap: bootstrap})
	if err != nil {
		return errors.Wrap(err, p.name)
	}
	if beforeRun != nil {
		beforeRun(k)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.kernel, p.cancel, p.runResult = k, cancel, make(chan error, 1)
	runResult := p.runResult
	go func() { runResult <- k.Run(ctx) }()
	return nil
}

// stop stops the kernel gracefully and waits until it has stopped. It does nothing if the process
// is not running.
func (p *process) stop() error {
	if p.kernel == nil {
		return nil
	}
	p.cancel()
	p.kernel = nil
	select {
	case err := <-p.runResult:
		return errors.Wrap(err, p.name)
	case <-time.After(stopTimeout):
		return errors.Newf("%s did not stop", p.name)
	}
}

// pluginService returns a plug-in of a process as a T. It returns an error if the process is not
// running or the plug-in does not implement T.
func pluginService[T any](p *process, plugin string) (T, error) {
	var zero T
	if p.kernel == nil {
		return zero, errors.Newf("%s is not running", p.name)
	}
	s, ok := p.kernel.Plugin(plugin).(T)
	if !ok {
		return zero, errors.Newf("%s: plug-in %s does not implement %s", p.name, plugin, fmt.Sprintf("%T", &zero))
	}
	return s, nil
}
