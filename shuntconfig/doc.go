// Package shuntconfig holds the configuration that operators publish and the
// settings that one daemon starts with: their types, their TOML codecs, their
// checks, and the immutable Tree in which published documents come together.
//
// Every check is a pure function of the document, so that all VMs accept and
// refuse the same documents.
package shuntconfig
