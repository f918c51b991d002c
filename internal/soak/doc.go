// Package soak holds tests that run the project's own programs as processes on loopback
// addresses, between stand-ins for clients, upstreams, the platform and operators, while
// processes are stopped, killed and restarted. It has no code but its tests.
package soak
