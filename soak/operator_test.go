package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operatorPause is the time between two changes.
const operatorPause = 400 * time.Millisecond

// document returns the table of a version: the routes of all callers, and one
// that only this version has.
func document(version uint64) []byte {
	route := func(name, kind, service string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "caller.example", "path_prefix": "/" + name + "/", "route_type": kind, "service": service,
			"timeout_ms": 3000, "slo_ms": 300, "max_attempts": 2, "resumable": resumable, "itl_target_ms": 200,
		}
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("once", "non_idempotent", deskService, false),
			route("again", "idempotent", deskService, false),
			route("chat", "streaming", chatService, true),
			route(fmt.Sprintf("only-%d", version), "idempotent", deskService, false),
		},
		"services": []any{map[string]any{"name": chatService, "health_path": "/h"}, map[string]any{"name": deskService, "health_path": "/h"}},
		"tenants":  []any{map[string]any{"name": "acme", "api_keys": []string{"key"}}},
	})
	if err != nil {
		panic("soak: a document that doesn't encode: " + err.Error())
	}
	return text
}

// operate changes the table again and again, reads it back, and looks whether it
// is in force.
func (w *world) operate() {
	for version := uint64(1); ; version++ {
		if w.tellControl(http.MethodPut, "/config", document(version)) {
			w.count("accepted")
			w.mu.Lock()
			w.accepted = max(w.accepted, version)
			w.mu.Unlock()
			w.checkInForce(version)
		}
		w.readBack()
		select {
		case <-w.quit:
			return
		case <-time.After(operatorPause):
		}
	}
}

// readBack reads the table at one disk VM. What it says must not be older than
// what was accepted before.
func (w *world) readBack() {
	w.mu.Lock()
	floor := w.accepted
	w.mu.Unlock()
	n := w.intN(diskVMs) + 1
	response, err := w.client.Get("http://" + ownAddress(n, w.ports.control) + "/config")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	var read struct {
		Version uint64 `json:"version"`
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(text, &read) != nil {
		return
	}
	w.count("read")
	if read.Version < floor {
		w.broken("disk VM %d read back version %d after %d was accepted", n, read.Version, floor)
	}
}

// checkInForce looks whether every router that was left alone has the new route.
func (w *world) checkInForce(version uint64) {
	deadline := time.Now().Add(applyWithin)
	for _, p := range w.fronts {
		for w.isCalm() && p.isRunning() && w.status(p, fmt.Sprintf("/only-%d/x", version)) == http.StatusNotFound {
			if time.Now().After(deadline) {
				w.broken("%s lacks version %d %s after it was accepted", p.settings.Name, version, applyWithin)
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// status sends a probe and returns the status of its answer, 0 for none.
func (w *world) status(p *process, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.settings.Listen.Callers+path, nil)
	if err != nil {
		panic("soak: a request that can't be made: " + err.Error())
	}
	request.Host = "caller.example"
	request.Header.Set("Authorization", "Token key")
	request.Header.Set("Deadline-Ms", "1")
	response, err := w.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
