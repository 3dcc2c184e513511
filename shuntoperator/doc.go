// Package shuntoperator is what operators meet: the state of one VM over HTTP,
// for people and collectors, and the command line. It only reads.
package shuntoperator
