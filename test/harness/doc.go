// Package harness runs the real programs in end-to-end tests. It builds them once, chooses free
// ports, writes settings, and starts and signals processes. Relays between the processes allow a test
// to simulate a network partition. At the end of a test the harness kills the processes and removes
// their files.
//
// Only tests and scripts start processes; the programs of the system never do.
package harness
