// Package soak holds tests that run a test cluster: the madderwing program as real processes on
// loopback addresses, among stand-ins for clients, upstreams, the platform, operators and
// applications. Faults drawn from a seed suspend, kill and restart processes and disturb connections.
// The stand-ins record a history, and a judge for each rule checks it afterwards. The package has
// test files only.
package soak
