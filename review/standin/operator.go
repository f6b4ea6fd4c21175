package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"
)

// Names of the deployment.
const (
	deskName   = "order-desk"
	poolName   = "plank-pool"
	hostName   = "orders.example"
	orderPath  = "/release/"
	streamPath = "/dispatch/"
	apiKey     = "n2ctnfzs989anu6wsjnb"
)

// Bounds of the routes. Requests of neither may run more than once for one attempt: those of the
// second are streams that may not be resumed.
const (
	orderTimeout  = 800 * time.Millisecond
	streamTimeout = 2000 * time.Millisecond
)

// document is a configuration with a route to each service.
func document(version int) []byte {
	route := func(name, prefix, kind, service string, timeout, objective time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "route_type": kind, "service": service,
			"timeout_ms": timeout.Milliseconds(), "slo_ms": objective.Milliseconds(), "itl_target_ms": 300,
			"priority": 0, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
	}
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("truck-release", orderPath, "non_idempotent", deskName, orderTimeout, 100*time.Millisecond),
			route("dispatch-reply", streamPath, "streaming", poolName, streamTimeout, 400*time.Millisecond),
		},
		"services": []any{service(deskName), service(poolName)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// putConfig sends a configuration to one node after the other until one acknowledges it.
func (f *fleet) putConfig(version int) {
	until := time.Now().Add(startUpTimeout)
	for i := 0; time.Now().Before(until); i++ {
		m := f.diskVMs[i%len(f.diskVMs)]
		status, err := call(http.MethodPut, "http://"+m.at(f.ports.control)+"/config", document(version))
		if err == nil && status == http.StatusOK {
			f.play.note("operator: configuration %d is acknowledged by %s", version, m.name)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.play.require(errors.New("no acknowledgement"), "first configuration")
}

// call makes a call of the operator or a server, and returns the status of its answer.
func call(method, url string, body []byte) (int, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
