package settings

import "endiveplank/settings/strict"

// Problem is one mistake in a settings document.
type Problem = strict.Problem

// Problems is every mistake found in one document.
type Problems = strict.Problems

// ReadFile reads and checks the document at path. The error is a Problems
// when the document was read but has mistakes.
func ReadFile(path string) (Settings, error) {
	return strict.ReadFile(path, Defaults(), check)
}

// Parse checks a document and fills in defaults. The error is a Problems if the
// text is JSON but has mistakes.
func Parse(raw []byte) (Settings, error) {
	return strict.Parse(raw, Defaults(), check)
}
