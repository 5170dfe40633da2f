// Package role contains one package for each program of the fleet. Each package registers and lists
// the plug-ins of its program. Thus a program and the tests that run its kernel have the same
// plug-ins, and no program contains a plug-in that it never runs.
package role
