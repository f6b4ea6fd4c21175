package table

import (
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
)

// Sheet names one sheet of the table.
type Sheet string

// The sheets, in the order in which they are shown.
const (
	Customers Sheet = "customers"
	Models    Sheet = "models"
	Routes    Sheet = "routes"
	Upstreams Sheet = "upstreams"
)

// Sheets lists all sheets.
var Sheets = []Sheet{Customers, Models, Routes, Upstreams}

// Limits of cells. They keep one row below about 1 KB, so that 2,400 customers
// take only a few megabytes in each process.
const (
	maxKeyLength  = 128
	maxNameLength = 64
	maxKeyHashes  = 8
	maxLimit      = 1_000_000_000
	maxWeight     = 10_000
	maxDeadlineMS = 3_600_000
	maxReplicas   = 10_000
	hashHexLength = 64
)

// PriorityClasses is the number of priority classes; class 0 is the most
// urgent.
const PriorityClasses = 4

// Column describes one column of a sheet.
type Column struct {
	Name string
	// Default is the cell's text in a new row that does not give this column. A
	// required column has no default.
	Default  string
	Required bool
	// Help says what the cell holds and in which unit.
	Help string
	// parse returns the canonical text of a cell, or the problem with the text.
	parse func(text string) (canonical, problem string)
}

// columns has the columns of each sheet, in the order of Row.Cells and of CSV
// files. New columns are added at the end, so that snapshots with fewer cells stay
// readable.
var columns = map[Sheet][]Column{
	Customers: {
		{Name: "key_hashes", Required: true, parse: parseHashes, Help: "SHA-256 of each bearer key in hexadecimal, separated by spaces"},
		{Name: "class", Default: "1", parse: parseNumber(0, PriorityClasses-1), Help: "priority class, 0 is the most urgent"},
		{Name: "weight", Default: "100", parse: parseNumber(1, maxWeight), Help: "share of capacity relative to others of the class"},
		{Name: "tokens_per_s", Default: "0", parse: parseNumber(0, maxLimit), Help: "limit over the whole fleet, 0 for none"},
		{Name: "requests_per_s", Default: "0", parse: parseNumber(0, maxLimit), Help: "limit over the whole fleet, 0 for none"},
		{Name: "concurrent", Default: "0", parse: parseNumber(0, maxLimit), Help: "requests in flight over the whole fleet, 0 for no limit"},
		{Name: "home", Default: "", parse: parseName(true), Help: "home region, empty for any"},
		{Name: "disabled", Default: "no", parse: parseYesNo, Help: "yes: every request of the customer is refused"},
	},
	Models: {
		{Name: "version", Default: "", parse: parseName(true), Help: "version of the weights to serve, empty for any"},
		{Name: "min_replicas", Default: "1", parse: parseNumber(0, maxReplicas), Help: "engines that always hold the model"},
		{Name: "max_replicas", Default: "0", parse: parseNumber(0, maxReplicas), Help: "engines at most, 0 for no limit"},
		{Name: "context_tokens", Default: "0", parse: parseNumber(0, maxLimit), Help: "longest request in tokens, 0 for no limit"},
	},
	Routes: {
		{Name: "service", Required: true, parse: parseName(false), Help: "plain service that the path prefix leads to"},
		{Name: "idempotent", Required: true, parse: parseYesNo, Help: "yes if a call may be repeated; no needs an Idempotency-Key"},
		{Name: "deadline_ms", Default: "30000", parse: parseNumber(1, maxDeadlineMS), Help: "time for a whole call in milliseconds"},
	},
	Upstreams: {
		{Name: "weight_pct", Default: "100", parse: parseNumber(0, maxWeight), Help: "share of its announced capacity in per cent"},
		{Name: "max_concurrent", Default: "0", parse: parseNumber(0, maxLimit), Help: "requests at once, 0 for as announced"},
		{Name: "drain", Default: "no", parse: parseYesNo, Help: "yes: no new work"},
	},
}

// Columns returns the columns of a sheet, nil for an unknown sheet.
func Columns(sheet Sheet) []Column { return columns[sheet] }

// ColumnIndex returns the position of a column in Row.Cells, or -1.
func ColumnIndex(sheet Sheet, name string) int {
	return slices.IndexFunc(columns[sheet], func(c Column) bool { return c.Name == name })
}

// checkKey returns the problem with a row's key, empty if there is none.
func checkKey(sheet Sheet, key string) string {
	if key == "" || len(key) > maxKeyLength {
		return "must have 1 to " + strconv.Itoa(maxKeyLength) + " bytes"
	}
	if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd }) {
		return "must not hold spaces or control characters"
	}
	if strings.ContainsRune("=+-@", rune(key[0])) {
		// Spreadsheet programs run such a cell as a formula.
		return "must not begin with = + - or @"
	}
	if sheet == Routes && !strings.HasPrefix(key, "/") {
		return "must begin with a slash"
	}
	return ""
}

func parseNumber(low, high int64) func(string) (string, string) {
	problem := "must be a whole number from " + strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	return func(text string) (string, string) {
		number, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil || number < low || number > high {
			return "", problem
		}
		return strconv.FormatInt(number, 10), ""
	}
}

func parseYesNo(text string) (string, string) {
	canonical := strings.ToLower(strings.TrimSpace(text))
	if canonical != "yes" && canonical != "no" {
		return "", "must be yes or no"
	}
	return canonical, ""
}

func parseName(mayBeEmpty bool) func(string) (string, string) {
	return func(text string) (string, string) {
		name := strings.TrimSpace(text)
		if name == "" && !mayBeEmpty {
			return "", "must not be empty"
		}
		if len(name) > maxNameLength || strings.ContainsAny(name, " \t\r\n") {
			return "", "must be one word of at most " + strconv.Itoa(maxNameLength) + " bytes"
		}
		return name, ""
	}
}

func parseHashes(text string) (string, string) {
	hashes := strings.Fields(strings.ToLower(text))
	if len(hashes) == 0 || len(hashes) > maxKeyHashes {
		return "", "must hold 1 to " + strconv.Itoa(maxKeyHashes) + " hashes"
	}
	for _, hash := range hashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != hashHexLength {
			return "", "each hash must be " + strconv.Itoa(hashHexLength) + " hexadecimal digits"
		}
	}
	slices.Sort(hashes)
	return strings.Join(slices.Compact(hashes), " "), ""
}
