// Command standin2 runs one case of the second review: a small fleet of the project's own programs, with
// stand-ins for its clients, servers and operator. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case couldn't run. With TROUBLE=0 it does the same without the disruption.
package main
