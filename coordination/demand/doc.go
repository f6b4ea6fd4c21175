// Package demand counts the demand for each service at one router, and adds up the counts of the
// whole fleet.
package demand
