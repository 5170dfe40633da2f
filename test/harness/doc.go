// Package harness runs the real programs in end-to-end tests. It builds them once, chooses free
// ports, writes settings, starts and signals processes, and relays connections so that a test can
// partition processes. At the end of a test it kills the processes and removes their files.
//
// Only tests and scripts start processes; the programs of the system never do.
package harness
