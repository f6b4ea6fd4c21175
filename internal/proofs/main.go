// Command proofs reads the output of `go test -json`, prints it as go test would,
// and checks that every test named in docs/PROOFS.md and docs/FAILURES.md exists,
// ran and passed, and that every script named there exists. Otherwise it exits
// with status 1, so that no page can refer to a test that isn't run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
)

// event is one line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// results holds the outcome and output of each test. The keys are the package and the
// test name with a space between them; the test name is empty for the package itself.
type results struct {
	outcome map[string]string
	output  map[string][]string
	passed  int
	failed  int
	skipped int
}

func main() {
	path := flag.String("results", "", "file with the output of go test -json")
	red := flag.String("red", "", "names of tests that may fail, separated by |")
	flag.Parse()
	found, err := readResults(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "proofs:", err)
		os.Exit(2)
	}
	knownRed := strings.Split(*red, "|")
	problems := found.failures(knownRed)
	for _, page := range flag.Args() {
		problems = append(problems, found.check(page, knownRed)...)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", found.passed, found.failed, found.skipped)
	for _, problem := range problems {
		fmt.Println("proofs:", problem)
	}
	if len(problems) > 0 {
		os.Exit(1)
	}
}

// readResults reads the events and prints the summary line of each package.
func readResults(path string) (*results, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	found := &results{outcome: map[string]string{}, output: map[string][]string{}}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			// Lines that aren't JSON come from the compiler or the linker.
			fmt.Println(scanner.Text())
			continue
		}
		found.add(e)
	}
	return found, scanner.Err()
}

func (r *results) add(e event) {
	switch {
	case e.Action == "output" || e.Action == "build-output":
		key := e.Package + " " + e.Test
		r.output[key] = append(r.output[key], e.Output)
		if e.Test == "" && (strings.HasPrefix(e.Output, "ok ") || strings.HasPrefix(e.Output, "FAIL\t") || e.Action == "build-output") {
			fmt.Print(e.Output)
		}
	case e.Test == "" && e.Action == "fail":
		r.outcome[e.Package+" "] = "fail"
	case e.Test == "":
	case e.Action == "pass" || e.Action == "fail" || e.Action == "skip":
		r.outcome[e.Package+" "+e.Test] = e.Action
		r.count(e.Action)
	}
}

func (r *results) count(action string) {
	switch action {
	case "pass":
		r.passed++
	case "fail":
		r.failed++
	case "skip":
		r.skipped++
	}
}

// failures prints the output of the failed tests that aren't known to fail and
// returns one problem for each.
func (r *results) failures(knownRed []string) []string {
	var problems []string
	for key, outcome := range r.outcome {
		_, test, _ := strings.Cut(key, " ")
		top, _, _ := strings.Cut(test, "/")
		if outcome != "fail" || (top != "" && slices.Contains(knownRed, top)) {
			continue
		}
		if test == "" && r.failedOnlyKnownRed(key, knownRed) {
			continue
		}
		fmt.Print(strings.Join(r.output[key], ""))
		problems = append(problems, "failed: "+strings.TrimSpace(key))
	}
	slices.Sort(problems)
	return problems
}

// failedOnlyKnownRed reports whether all failed tests of a package are known to
// fail.
func (r *results) failedOnlyKnownRed(pkg string, knownRed []string) bool {
	failed := false
	for key, outcome := range r.outcome {
		if outcome != "fail" || key == pkg || !strings.HasPrefix(key, pkg) {
			continue
		}
		failed = true
		top, _, _ := strings.Cut(strings.TrimPrefix(key, pkg), "/")
		if !slices.Contains(knownRed, top) {
			return false
		}
	}
	return failed
}

var (
	testName   = regexp.MustCompile("`((?:Test|Fuzz)[A-Z]\\w*)`")
	scriptName = regexp.MustCompile("`(scripts/[\\w.-]+\\.sh)")
)

// check returns a problem for each test that a page names and that did not run and
// pass, unless it is known to fail, and for each script that does not exist.
func (r *results) check(page string, knownRed []string) []string {
	text, err := os.ReadFile(page)
	if err != nil {
		return []string{err.Error()}
	}
	var problems []string
	for _, match := range testName.FindAllStringSubmatch(string(text), -1) {
		if !r.passedTest(match[1]) && !slices.Contains(knownRed, match[1]) {
			problems = append(problems, fmt.Sprintf("%s names %s, which did not run and pass", page, match[1]))
		}
	}
	for _, match := range scriptName.FindAllStringSubmatch(string(text), -1) {
		if _, err := os.Stat(match[1]); err != nil {
			problems = append(problems, fmt.Sprintf("%s names %s, which doesn't exist", page, match[1]))
		}
	}
	return slices.Compact(problems)
}

func (r *results) passedTest(test string) bool {
	for key, outcome := range r.outcome {
		if outcome == "pass" && strings.HasSuffix(key, " "+test) {
			return true
		}
	}
	return false
}
