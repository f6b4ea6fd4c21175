// Package admin serves operators over HTTP on a listener of its own: the
// table, the fleet's status, explained events, orders, and metrics. The tool
// `endiveplank` is its client; docs/ADMIN.md lists the calls.
//
// Every call but the metrics needs an operator's key as a bearer. A key has a
// role: read sees everything but keys' digests, edit also changes the table
// and settles orders, control also drains and lifts quarantines. Every change
// names the operator in the table's history, which is the audit trail.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"endiveplank/coordination/explain"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/settings"
)

const (
	// maxBody bounds a change of the table.
	maxBody = 4 << 20
	// changeTimeout bounds how long a change may take to be in force.
	changeTimeout = 10 * time.Second
	// queryTimeout bounds a question to the fleet.
	queryTimeout = 2 * time.Second
	// maxHistory is the most history entries of one answer.
	maxHistory = 500
)

// Fleet is what the operators' calls work on.
type Fleet interface {
	// Status describes the fleet as this process sees it.
	Status(ctx context.Context) Status
	// Rows returns a sheet as it is in force here.
	Rows(sheet table.Sheet) []table.Row
	// Change commits a change and returns when it is in force everywhere.
	Change(ctx context.Context, change table.Change) (table.Answer, error)
	// History asks the leader for past changes.
	History(ctx context.Context, query HistoryQuery) ([]table.HistoryEntry, error)
	// Undo returns the edits that take a change back.
	Undo(ctx context.Context, changeID string) ([]table.Edit, error)
	// Events asks every router for explained events.
	Events(ctx context.Context, query explain.Query) EventsAnswer
	// Order returns an order's record.
	Order(ctx context.Context, key orders.Key) (orders.Record, bool, error)
	// Settle records what the service itself says about an unknown order.
	Settle(ctx context.Context, settle Settle) (orders.Result, error)
	// Quarantine lists the requests that are refused for crashes of upstreams,
	// and LiftQuarantine lets one run again, on every router.
	Quarantine() []QuarantineEntry
	LiftQuarantine(digest uint64)
	// WriteMetrics writes this process's metrics.
	WriteMetrics(w io.Writer) error
}

// Status is the fleet at a glance.
type Status struct {
	Router     protocol.RouterID   `json:"router"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Ready      bool                `json:"ready"`
	Leader     protocol.RouterID   `json:"leader"`
	Revision   uint64              `json:"revision"`
	// Problems says what is wrong, worst first; empty when all is well.
	Problems  []string         `json:"problems"`
	Routers   []RouterStatus   `json:"routers"`
	Voters    []VoterStatus    `json:"voters,omitempty"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// RouterStatus is one router with an open session.
type RouterStatus struct {
	Router     protocol.RouterID   `json:"router"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Address    string              `json:"address"`
	Session    uint64              `json:"session"`
	Stopping   bool                `json:"stopping"`
	Upstreams  int                 `json:"upstreams"`
}

// VoterStatus is one member of the replicated log.
type VoterStatus struct {
	Router protocol.RouterID `json:"router"`
	Role   string            `json:"role"`
}

// UpstreamStatus is one upstream.
type UpstreamStatus struct {
	Upstream   protocol.UpstreamID `json:"upstream"`
	Kind       string              `json:"kind"`
	Address    string              `json:"address"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Serves     string              `json:"serves"`
	Owner      protocol.RouterID   `json:"owner"`
	Fence      uint64              `json:"fence"`
	Drain      bool                `json:"drain"`
}

// HistoryQuery selects past changes. Empty fields match all.
type HistoryQuery struct {
	Sheet table.Sheet `json:"sheet" msgpack:"s"`
	Key   string      `json:"key" msgpack:"k"`
	Limit int         `json:"limit" msgpack:"l"`
}

// EventsAnswer holds the events of all routers that answered.
type EventsAnswer struct {
	Events []explain.Event `json:"events"`
	// Silent lists routers that didn't answer in time: their part of the
	// story is missing.
	Silent []protocol.RouterID `json:"silent,omitempty"`
}

// Settle is an operator's word about an order that is unknown.
type Settle struct {
	Customer protocol.CustomerID `json:"customer"`
	Key      string              `json:"key"`
	// Ran says whether the service ran it.
	Ran    bool   `json:"ran"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
	Who    string `json:"-"`
}

// QuarantineEntry is one request that is refused for crashes of upstreams.
type QuarantineEntry struct {
	// Digest identifies customer and body, 16 hexadecimal digits.
	Digest string `json:"digest"`
	// Customer is empty on routers that haven't met the request themselves.
	Customer protocol.CustomerID `json:"customer,omitempty"`
	// Strikes counts how often it was condemned, Seconds what is left.
	Strikes int `json:"strikes"`
	Seconds int `json:"seconds"`
}

// LiftRequest is the body of a lifted quarantine.
type LiftRequest struct {
	Digest string `json:"digest"`
}

// ChangeRequest is the body of a table change.
type ChangeRequest struct {
	ID    string       `json:"id"`
	Why   string       `json:"why"`
	Edits []table.Edit `json:"edits"`
}

// UndoRequest is the body of an undo.
type UndoRequest struct {
	Change string `json:"change"`
	ID     string `json:"id"`
	Why    string `json:"why"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error string `json:"error"`
	// Next says what the operator can do.
	Next string `json:"next,omitempty"`
}

// Handler serves the operators' listener.
type Handler struct {
	fleet     Fleet
	operators atomic.Pointer[[]settings.Operator]
	mux       *http.ServeMux
}

// rank orders the roles; each includes the lower ones.
var rank = map[settings.OperatorRole]int{
	settings.OperatorRead:    1,
	settings.OperatorEdit:    2,
	settings.OperatorControl: 3,
}

// New returns a handler.
func New(fleet Fleet, operators []settings.Operator) *Handler {
	h := &Handler{fleet: fleet, mux: http.NewServeMux()}
	h.SetOperators(operators)
	h.mux.HandleFunc("GET /metrics", h.metrics)
	h.handle("GET /admin/v1/status", settings.OperatorRead, h.status)
	h.handle("GET /admin/v1/events", settings.OperatorRead, h.events)
	h.handle("GET /admin/v1/table/{sheet}", settings.OperatorRead, h.rows)
	h.handle("GET /admin/v1/history", settings.OperatorRead, h.history)
	h.handle("POST /admin/v1/changes", settings.OperatorEdit, h.change)
	h.handle("POST /admin/v1/undo", settings.OperatorEdit, h.undo)
	h.handle("GET /admin/v1/orders/{customer}/{key}", settings.OperatorRead, h.order)
	h.handle("POST /admin/v1/orders/settle", settings.OperatorEdit, h.settle)
	h.handle("GET /admin/v1/quarantine", settings.OperatorRead, h.quarantine)
	h.handle("POST /admin/v1/quarantine/lift", settings.OperatorControl, h.lift)
	h.handle("GET /debug/pprof/profile", settings.OperatorControl, func(w http.ResponseWriter, r *http.Request, _ string) { pprof.Profile(w, r) })
	h.handle("GET /debug/pprof/{name}", settings.OperatorControl, func(w http.ResponseWriter, r *http.Request, _ string) {
		pprof.Handler(r.PathValue("name")).ServeHTTP(w, r)
	})
	return h
}

// SetOperators puts other operators' keys in force, from the next call on.
func (h *Handler) SetOperators(operators []settings.Operator) { h.operators.Store(&operators) }

// ServeHTTP routes one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// call is an operator's call; who is the operator's name.
type call func(w http.ResponseWriter, r *http.Request, who string)

// handle registers a call that needs at least a role.
func (h *Handler) handle(pattern string, least settings.OperatorRole, serve call) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		operator, found := h.operator(r)
		if !found {
			writeError(w, http.StatusUnauthorized, "no operator has this key", "send an operator's key as Authorization: Bearer KEY")
			return
		}
		if rank[operator.Role] < rank[least] {
			writeError(w, http.StatusForbidden, "the role "+string(operator.Role)+" may not do this", "use a key with the role "+string(least))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		serve(w, r, operator.Name)
	})
}

// operator finds the operator of a call. Every key is compared, each in
// constant time, so the time taken tells nothing about them.
func (h *Handler) operator(r *http.Request) (settings.Operator, bool) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(key))
	var found settings.Operator
	ok := false
	for _, operator := range *h.operators.Load() {
		want, err := hex.DecodeString(operator.KeySHA256)
		if err == nil && subtle.ConstantTimeCompare(want, digest[:]) == 1 {
			found, ok = operator, true
		}
	}
	return found, ok
}

func (h *Handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_ = h.fleet.WriteMetrics(w)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request, _ string) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, h.fleet.Status(ctx))
}

func (h *Handler) events(w http.ResponseWriter, r *http.Request, _ string) {
	values := r.URL.Query()
	limit, _ := strconv.Atoi(values.Get("limit"))
	query := explain.Query{
		Request:  protocol.RequestID(values.Get("request")),
		Customer: protocol.CustomerID(values.Get("customer")),
		Upstream: protocol.UpstreamID(values.Get("upstream")),
		What:     values.Get("what"),
		Limit:    limit,
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, h.fleet.Events(ctx, query))
}

func (h *Handler) rows(w http.ResponseWriter, r *http.Request, _ string) {
	sheet := table.Sheet(r.PathValue("sheet"))
	if !slices.Contains(table.Sheets, sheet) {
		writeError(w, http.StatusNotFound, "there is no sheet "+string(sheet), "the sheets are customers, models, routes, upstreams")
		return
	}
	writeJSON(w, http.StatusOK, h.fleet.Rows(sheet))
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request, _ string) {
	values := r.URL.Query()
	limit, err := strconv.Atoi(values.Get("limit"))
	if err != nil || limit <= 0 || limit > maxHistory {
		limit = maxHistory
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	found, err := h.fleet.History(ctx, HistoryQuery{Sheet: table.Sheet(values.Get("sheet")), Key: values.Get("key"), Limit: limit})
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request, who string) {
	var request ChangeRequest
	if !readJSON(w, r, &request) {
		return
	}
	h.commit(w, r, table.Change{ID: request.ID, Who: who, Why: request.Why, Edits: request.Edits})
}

func (h *Handler) undo(w http.ResponseWriter, r *http.Request, who string) {
	var request UndoRequest
	if !readJSON(w, r, &request) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	edits, err := h.fleet.Undo(ctx, request.Change)
	if err != nil {
		writeError(w, http.StatusNotFound, err.Error(), "endiveplank table history lists the changes that can be undone")
		return
	}
	h.commit(w, r, table.Change{ID: request.ID, Who: who, Why: request.Why, Edits: edits})
}

// commit answers a change with its outcome: 200 in force, 409 another change
// won, 422 invalid.
func (h *Handler) commit(w http.ResponseWriter, r *http.Request, change table.Change) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	answer, err := h.fleet.Change(ctx, change)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "whether the change took effect isn't known: "+err.Error(), "send it again with the same id; it is applied once")
		return
	}
	writeJSON(w, statusOf(answer.Outcome), answer)
}

func statusOf(outcome table.Outcome) int {
	switch outcome {
	case table.Committed:
		return http.StatusOK
	case table.Invalid:
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

func (h *Handler) order(w http.ResponseWriter, r *http.Request, _ string) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	key := orders.Key{Customer: protocol.CustomerID(r.PathValue("customer")), Key: r.PathValue("key")}
	record, found, err := h.fleet.Order(ctx, key)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	if !found {
		writeError(w, http.StatusNotFound, "the journal has no such order", "it never reached the fleet, or its retention is over")
		return
	}
	writeJSON(w, http.StatusOK, describeOrder(record))
}

// OrderView is an order as operators see it.
type OrderView struct {
	Customer   protocol.CustomerID `json:"customer"`
	Key        string              `json:"key"`
	State      string              `json:"state"`
	Attempts   uint32              `json:"attempts"`
	ReservedAt int64               `json:"reserved_at_unix_ms"`
	Status     int                 `json:"status,omitempty"`
	Body       string              `json:"body,omitempty"`
}

func describeOrder(record orders.Record) OrderView {
	view := OrderView{
		Customer:   record.Key.Customer,
		Key:        record.Key.Key,
		State:      record.State.String(),
		Attempts:   record.Attempts,
		ReservedAt: record.ReservedAt,
	}
	if record.Answer != nil {
		view.Status = int(record.Answer.Status)
		view.Body = string(record.Answer.Body)
	}
	return view
}

func (h *Handler) settle(w http.ResponseWriter, r *http.Request, who string) {
	var request Settle
	if !readJSON(w, r, &request) {
		return
	}
	request.Who = who
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := h.fleet.Settle(ctx, request)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	if result.Outcome != orders.Applied {
		writeError(w, http.StatusConflict, "the order can't be settled: "+string(result.Outcome), "only an order whose state is unknown can be settled")
		return
	}
	writeJSON(w, http.StatusOK, describeOrder(*result.Record))
}

func (h *Handler) quarantine(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, h.fleet.Quarantine())
}

// hexadecimal is the base of digests in JSON, and digestBits their size.
const (
	hexadecimal = 16
	digestBits  = 64
)

func (h *Handler) lift(w http.ResponseWriter, r *http.Request, _ string) {
	var request LiftRequest
	if !readJSON(w, r, &request) {
		return
	}
	digest, err := strconv.ParseUint(request.Digest, hexadecimal, digestBits)
	if err != nil {
		writeError(w, http.StatusBadRequest, "digest must have 16 hexadecimal digits", "endiveplank quarantine list shows them")
		return
	}
	h.fleet.LiftQuarantine(digest)
	writeJSON(w, http.StatusOK, h.fleet.Quarantine())
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "the body doesn't fit: "+err.Error(), "docs/ADMIN.md lists the fields")
		return false
	}
	return true
}

func writeUnavailable(w http.ResponseWriter, err error) {
	writeError(w, http.StatusServiceUnavailable, err.Error(), "try again, or ask another router")
}

func writeError(w http.ResponseWriter, status int, what, next string) {
	writeJSON(w, status, ErrorBody{Error: what, Next: next})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
