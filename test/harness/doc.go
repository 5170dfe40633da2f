// Package harness starts the real programs for end-to-end tests: it builds them
// once, finds free ports, writes settings, signals processes, relays connections
// so that a test can cut them, and removes everything at the end of the test.
//
// Only tests and scripts start processes; no program of the system does.
package harness
