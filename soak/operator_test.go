package soak

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"endiveplank/coordination/routing"
	"endiveplank/platform"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// operatorPause is the time between two changes.
const operatorPause = 400 * time.Millisecond

// tableOf returns the table of a version: the routes of all callers, and one that
// only this version has.
func tableOf(version uint64) []byte {
	route := func(name string, repeat routing.Repeat, service protocol.Service, stream bool) routing.Route {
		return routing.Route{
			Name: name, Host: callersHost, PathPrefix: "/" + name + "/", Repeat: repeat, Stream: stream, Resumable: stream,
			Split:   []routing.Share{{Service: service, Weight: 1}},
			Timeout: 3 * time.Second, Objective: 300 * time.Millisecond, LongestPause: 200 * time.Millisecond, MaxAttempts: 2,
		}
	}
	text, err := platform.EncodeTable(&routing.Table{
		Version: version,
		Routes: []routing.Route{
			route("once", routing.Once, deskService, false),
			route("again", routing.Idempotent, deskService, false),
			route("chat", routing.Idempotent, chatService, true),
			route(fmt.Sprintf("only-%d", version), routing.Idempotent, deskService, false),
		},
		Services:  []routing.Service{{Name: chatService, HealthPath: "/h"}, {Name: deskService, HealthPath: "/h"}},
		Customers: []routing.Customer{{Name: "acme", Keys: []string{callersKey}}},
	})
	if err != nil {
		panic("soak: a table that doesn't encode: " + err.Error())
	}
	return text
}

// operate changes the table again and again, reads it back, and looks whether it
// is in force.
func (w *world) operate() {
	for version := uint64(1); ; version++ {
		if w.tellControl(http.MethodPut, platform.TablePath, tableOf(version)) {
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
	response, err := w.client.Get("http://" + ownAddress(n, w.ports.control) + platform.TablePath)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	read, err := platform.TableVersion(text)
	if err != nil {
		return
	}
	w.count("read")
	if read < floor {
		w.broken("disk VM %d read back version %d after %d was accepted", n, read, floor)
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
	request.Host = callersHost
	platform.WriteCall(request.Header, dialect.Call{Key: callersKey, Remaining: time.Millisecond})
	response, err := w.client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
