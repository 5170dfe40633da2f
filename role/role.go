// Package role holds one package for each program of the fleet. Each registers
// and lists the plug-ins of its program, so that programs and tests that embed a
// kernel run the same ones, and a program contains no plug-in that it never runs.
package role
