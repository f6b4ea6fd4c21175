// Package admin serves the operators' HTTP API on a separate listener: the table,
// the fleet's status, the routers' recorded decisions (package explain), orders,
// quarantined requests and metrics.
// Handler serves the calls and Fleet does their work. The tool `endiveplank` is the
// client; docs/ADMIN.md lists the calls.
//
// Every call except the metrics needs an operator's key as bearer token. A key has a
// role: read sees everything except the digests of keys, edit also changes the table
// and settles orders, control also drains upstreams and lifts quarantines. The
// table's history names the operator of every change and serves as the audit trail.
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
	// maxBody bounds the body of a call. The largest bodies are table changes.
	maxBody = 4 << 20
	// changeTimeout bounds how long a change may take to be in force everywhere.
	changeTimeout = 10 * time.Second
	// queryTimeout bounds a query to the fleet.
	queryTimeout = 2 * time.Second
	// maxHistory is the maximum number of history entries in one answer.
	maxHistory = 500
)

// Fleet executes the operators' calls.
type Fleet interface {
	// Status describes the fleet as this process sees it.
	Status(ctx context.Context) Status
	// Rows returns the rows of a sheet that are in force in this process.
	Rows(sheet table.Sheet) []table.Row
	// Change commits a change and returns when it is in force everywhere.
	Change(ctx context.Context, change table.Change) (table.Answer, error)
	// History returns past changes from the leader.
	History(ctx context.Context, query HistoryQuery) ([]table.HistoryEntry, error)
	// Undo returns the edits that reverse a change.
	Undo(ctx context.Context, changeID string) ([]table.Edit, error)
	// Events collects the recorded decisions of every router.
	Events(ctx context.Context, query explain.Query) EventsAnswer
	// Order returns an order's record.
	Order(ctx context.Context, key orders.Key) (orders.Record, bool, error)
	// Settle records the outcome of an order in state unknown, as the operator
	// learned it from the service.
	Settle(ctx context.Context, settle SettleRequest) (orders.Result, error)
	// Quarantine lists the requests that are refused because they crashed
	// upstreams. LiftQuarantine lets one of them run again, on every router.
	Quarantine() []QuarantineEntry
	LiftQuarantine(digest uint64)
	// WriteMetrics writes this process's metrics.
	WriteMetrics(w io.Writer) error
}

// Status summarizes the fleet as one process sees it.
type Status struct {
	Router     protocol.RouterID   `json:"router"`
	DataCentre protocol.DataCentre `json:"data_centre"`
	Ready      bool                `json:"ready"`
	Leader     protocol.RouterID   `json:"leader"`
	Revision   uint64              `json:"revision"`
	// Problems lists what is wrong, worst first; empty if nothing is.
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

// VoterStatus is one member of the consensus cluster. Its Role is voter or learner.
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
	// Serves is the service's name, or an engine's models separated by spaces.
	Serves string            `json:"serves"`
	Owner  protocol.RouterID `json:"owner"`
	Fence  uint64            `json:"fence"`
	Drain  bool              `json:"drain"`
}

// HistoryQuery selects past changes. An empty sheet or key matches all.
type HistoryQuery struct {
	Sheet table.Sheet `json:"sheet" msgpack:"s"`
	Key   string      `json:"key" msgpack:"k"`
	Limit int         `json:"limit" msgpack:"l"`
}

// EventsAnswer holds the events of all routers that answered.
type EventsAnswer struct {
	Events []explain.Event `json:"events"`
	// Silent lists routers that didn't answer in time. Their events are missing.
	Silent []protocol.RouterID `json:"silent,omitempty"`
}

// SettleRequest is the body of a call that settles an order in state unknown.
type SettleRequest struct {
	Customer protocol.CustomerID `json:"customer"`
	Key      string              `json:"key"`
	// Ran is whether the service executed the order.
	Ran    bool   `json:"ran"`
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
	Who    string `json:"-"`
}

// QuarantineEntry is one request that is refused because it crashed upstreams.
type QuarantineEntry struct {
	// Digest identifies customer and body. It has 16 hexadecimal digits.
	Digest string `json:"digest"`
	// Customer is empty on routers that never received the request themselves.
	Customer protocol.CustomerID `json:"customer,omitempty"`
	// Strikes is how often the request was quarantined, Seconds how long the
	// current quarantine still lasts.
	Strikes int `json:"strikes"`
	Seconds int `json:"seconds"`
}

// LiftRequest is the body of a call that lifts a quarantine.
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
	// Next tells the operator what to do about the error.
	Next string `json:"next,omitempty"`
}

// Handler serves the operators' HTTP API.
type Handler struct {
	fleet     Fleet
	operators atomic.Pointer[[]settings.Operator]
	mux       *http.ServeMux
}

// roleRank orders the roles. Each role includes the rights of the lower ones.
var roleRank = map[settings.OperatorRole]int{
	settings.OperatorRead:    1,
	settings.OperatorEdit:    2,
	settings.OperatorControl: 3,
}

// New returns a handler that executes calls on fleet and accepts the keys of
// operators.
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

// SetOperators replaces the operators and their keys, starting with the next call.
func (h *Handler) SetOperators(operators []settings.Operator) { h.operators.Store(&operators) }

// ServeHTTP routes one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// operatorHandler handles an operator's call. who is the operator's name.
type operatorHandler func(w http.ResponseWriter, r *http.Request, who string)

// handle registers a handler for calls that need at least the role minRole.
func (h *Handler) handle(pattern string, minRole settings.OperatorRole, serve operatorHandler) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		operator, found := h.operator(r)
		if !found {
			writeError(w, http.StatusUnauthorized, "no operator has this key", "send an operator's key as Authorization: Bearer KEY")
			return
		}
		if roleRank[operator.Role] < roleRank[minRole] {
			writeError(w, http.StatusForbidden, "the role "+string(operator.Role)+" may not do this", "use a key with the role "+string(minRole))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		serve(w, r, operator.Name)
	})
}

// operator returns the operator whose key a call carries. It compares every key in
// constant time, so that the response time reveals nothing about the keys.
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

// commit makes a change and answers with its outcome: status 200 when it is in
// force, 409 when it conflicts with another change or reuses a change's ID, 422 when
// it is invalid.
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

// OrderView is an order in the operators' API.
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
	var request SettleRequest
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

// hexadecimal is the base of digests in JSON, digestBits their size in bits.
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

func writeError(w http.ResponseWriter, status int, message, next string) {
	writeJSON(w, status, ErrorBody{Error: message, Next: next})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
