package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// newRoute returns a route whose requests must run once at most.
func newRoute(prefix, service string) map[string]any {
	return map[string]any{
		"name": "r-" + service, "host": routeHost, "pathPrefix": prefix, "routeKind": "unsafe", "timeout": "2000ms", "targetLatency": "500ms",
		"priority": 0, "service": service, "maxAttempts": 2,
	}
}

// newConfiguration returns a configuration of the given routes.
func newConfiguration(version, base string, services []string, routes ...map[string]any) map[string]any {
	list := []any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "baseVersion": base, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
}

// putConfiguration sends a configuration to the control instances in turn until one acknowledges it,
// and returns the time of the acknowledgement.
func (w *world) putConfiguration(c map[string]any, timeout time.Duration) (time.Time, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return time.Time{}, err
	}
	client := http.Client{Timeout: 2 * time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, m := range w.machines {
			if !m.isCore() {
				continue
			}
			r, err := http.NewRequest(http.MethodPut, "http://"+m.address(offsetControl)+"/celeryyard/config", bytes.NewReader(body))
			if err != nil {
				return time.Time{}, err
			}
			r.Header.Set("Content-Type", "application/json")
			resp, err := client.Do(r)
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			w.rec.logf("configuration %v to %s -> %d", c["version"], m.name, resp.StatusCode)
			if resp.StatusCode == http.StatusOK {
				return time.Now(), nil
			}
		}
	}
	return time.Time{}, fmt.Errorf("configuration %v was not acknowledged", c["version"])
}
