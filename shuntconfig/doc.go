// Package shuntconfig defines the configuration that operators publish and the
// settings file of a daemon: their types, their TOML codecs, their validation,
// and the immutable Tree that combines all published documents.
//
// Whether a document is valid depends on nothing but the document itself, so
// all VMs accept and refuse the same documents.
package shuntconfig
