// Command standin-3 plays the cases of the third review that cannot be put as a day: it starts the
// project's own programs with the commands of the deploy file on loopback addresses, and stands in for
// the platform, the operator, the clients and the endpoints.
//
//	standin-3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases maps the names of the cases to what plays them; each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"encoded-prefix":   playEncodedPrefix,
	"forged-heartbeat": playForgedHeartbeat,
	"forgotten-end":    playForgottenEnd,
	"lost-acks":        playLostAcknowledgements,
	"pipelined":        playPipelined,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := newRecorder(file)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, disruption: %v", name, trouble)
	folder, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		rec.logf("cannot run: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		rec.logf("files in %s", folder)
	}
	w := &world{rec: rec, folder: folder}
	defer func() {
		for _, m := range w.machines {
			m.kill()
		}
	}()
	defer rec.close() // before the processes are killed
	broken, err := cases[name](w, trouble)
	switch {
	case err != nil:
		rec.logf("cannot run: %v", err)
		return 2
	case broken:
		rec.logf("RULE BROKEN")
		return 1
	}
	rec.logf("the rule held")
	return 0
}

// begin starts three control instances, each in a zone of its own, and a node for each of the services. It
// sends the first configuration and waits until the nodes are ready.
func (w *world) begin(services []string, first map[string]any) error {
	zones := []string{"a", "b", "c"}
	var ips []string
	for i := range 3 + len(services) {
		ip := fmt.Sprintf("127.83.%d.%d", os.Getpid()%250+1, i+1)
		ips = append(ips, ip)
		m := &machine{w: w, name: fmt.Sprintf("core-%s", zones[i%3]), ip: ip, zone: zones[i%3]}
		if i >= 3 {
			m.name, m.service = fmt.Sprintf("node-%d", i-2), services[i-3]
		}
		w.machines = append(w.machines, m)
	}
	var err error
	if w.basePort, err = findPorts(ips); err != nil {
		return err
	}
	for _, m := range w.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	if _, err := w.putConfiguration(first, 20*time.Second); err != nil {
		return err
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range w.nodes() {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(services) {
			w.rec.logf("all %d nodes are ready", ready)
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(services))
		}
	}
}

// nodes returns the machines with an endpoint.
func (w *world) nodes() []*machine { return w.machines[3:] }
