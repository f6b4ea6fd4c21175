package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// heartbeat is the heartbeat_ms of magramp-south.
const heartbeat = 1200 * time.Millisecond

// server is a sound server of a service: it registers, and runs what it is sent.
type server struct {
	fleet             *fleet
	id, service, zone string
	address           string
	slots             int
	sequence          atomic.Uint64
	http              *http.Server
	quit              chan struct{}
}

// startServer starts a server that answers with run.
func startServer(f *fleet, n int, service string, slots int, run func(s *server, w http.ResponseWriter, r *http.Request)) (*server, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", f.network, 100+n))
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zones[n%len(zones)], address: listener.Addr().String(), slots: slots, quit: make(chan struct{})}
	s.http = &http.Server{IdleTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, run) })}
	go func() { _ = s.http.Serve(listener) }()
	go s.register()
	return s, nil
}

// serve answers a health check, rejects what is for another server, and runs the rest.
func (s *server) serve(w http.ResponseWriter, r *http.Request, run func(s *server, w http.ResponseWriter, r *http.Request)) {
	id := r.Header.Get("Attempt-Id")
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Instance-Id", s.id)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Server-Signature", s.id+"."+id)
	run(s, w, r)
}

// register sends heartbeats until the server ends.
func (s *server) register() {
	for {
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": s.sequence.Add(1),
		})
		s.fleet.call(http.MethodPut, "/instances/"+s.id, body)
		select {
		case <-s.quit:
			return
		case <-time.After(heartbeat):
		}
	}
}
