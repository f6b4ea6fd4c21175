// Package soak is a randomized test of a fleet. It runs the real programs as
// separate processes on one machine and injects faults from outside, which a seed
// selects: proxies on the loopback interface delay, reset, silence and cut connections;
// signals stop, pause, kill and reload processes; data folders are wiped. During
// the run it checks the documented guarantees by what callers, upstreams and
// operators see.
//
// harness is one fleet with its callers, upstreams and operators, process is one of
// its programs, and faults are the failures that the test injects.
//
// `go test ./soak` runs one short run for each seed. To run more seeds:
//
//	go test ./soak -run Seeds -timeout 0 -soak.seeds 50 -soak.first 1000 -soak.seconds 20
//
// A seed that has ever failed stays in regressionSeeds, with a comment on the
// cause. The test signals only processes that it has started, by their process IDs.
package soak
