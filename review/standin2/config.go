package main

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// route is a route of a configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	RouteType   string  `json:"route_type"`
	TimeoutMS   float64 `json:"timeout_ms"`
	SLOMS       float64 `json:"slo_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Public      bool    `json:"public"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	ITLTargetMS float64 `json:"itl_target_ms"`
}

// configuration returns the body of a configuration without tenants.
func configuration(version int, services []string, routes ...route) []byte {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return body
}

var errNotReady = errors.New("the fleet didn't get ready")

// configure sends a configuration and waits until all routers are ready and have it.
func (f *fleet) configure(body []byte) error {
	if status := f.call(http.MethodPut, "/config", body); status != http.StatusOK {
		return errNotReady
	}
	if !f.awaitReady(15 * time.Second) {
		return errNotReady
	}
	// Machines are in touch contact_ms after the start.
	time.Sleep(4 * time.Second)
	return nil
}
