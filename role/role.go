// Package role contains one package for each program of the fleet. Each of them registers and lists
// the plug-ins of its program. A program and the tests that embed it in a kernel thus run the same
// plug-ins, and no program contains a plug-in that it never runs.
package role
