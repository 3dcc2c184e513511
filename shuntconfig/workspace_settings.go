package shuntconfig

import (
	"time"
)

// SettingDoc describes one setting or document field in the generated pages
// under docs/.
type SettingDoc struct {
	Name    string
	Type    string
	Unit    string
	Default string
	Text    string
	// Since is the first release that has the setting.
	Since string
}

// WorkspaceSetting is a setting that a template can give to its workspaces, with
// its description and the function that stores a value.
type WorkspaceSetting struct {
	SettingDoc
	// set stores v in w. If v is invalid it returns the Problem for a
	// FieldError, otherwise "".
	set func(w *Workspace, v any) string
}

func defaultWorkspace() Workspace {
	return Workspace{
		Class:             Interactive,
		Deadline:          340 * time.Millisecond,
		MinimumCoverage:   0,
		HedgeQuantile:     0.95,
		HedgeFraction:     0.05,
		RetryFraction:     0.1,
		MaximumConcurrent: 1000,
	}
}

// WorkspaceSettings returns all settings that a template can give to workspaces.
func WorkspaceSettings() []WorkspaceSetting {
	return workspaceSettings
}

func findWorkspaceSetting(name string) (WorkspaceSetting, bool) {
	for _, s := range workspaceSettings {
		if s.Name == name {
			return s, true
		}
	}
	return WorkspaceSetting{}, false
}

var workspaceSettings = []WorkspaceSetting{
	{SettingDoc{"Services", "StringList", "", "none, required", "The services whose shards together make up the workspace's index.", "0.1"},
		func(w *Workspace, v any) string {
			l, ok := asStrings(v)
			if !ok {
				return "is not a list of strings"
			}
			w.Services = l
			return ""
		}},
	{SettingDoc{"Class", "String", "", "Interactive", "The priority class: Interactive goes first, Batch can wait, Browse is shed first.", "0.1"},
		func(w *Workspace, v any) string {
			s, _ := v.(string)
			c, ok := ParseClass(s)
			if !ok {
				return "is not Interactive, Batch or Browse"
			}
			w.Class = c
			return ""
		}},
	{SettingDoc{"DeadlineMilliseconds", "Integer", "ms", "340", "How long a query may take when its caller names no deadline, and the longest that a caller may name.", "0.1"},
		func(w *Workspace, v any) string {
			n, ok := v.(int64)
			if !ok {
				return "is not a whole number"
			}
			if n < 0 || n > maxDeadline.Milliseconds() {
				return "is not between 1 and 3600000"
			}
			w.Deadline = time.Duration(n) * time.Millisecond
			return ""
		}},
	{SettingDoc{"WaitForAll", "Boolean", "", "false", "True: an answer waits for every shard until the deadline. False: it may leave once MinimumCoverage is reached and half of the time is over and the missing shards take over four times the 99th percentile of their service.", "0.1"},
		func(w *Workspace, v any) string {
			b, ok := v.(bool)
			if !ok {
				return "is not true or false"
			}
			w.WaitForAll = b
			return ""
		}},
	{SettingDoc{"MinimumCoverage", "Float", "fraction", "0", "The least share of shards in a Partial answer. Below it the answer carries its rows but says BelowMinimum.", "0.1"},
		floatSetting(func(w *Workspace) *float64 { return &w.MinimumCoverage })},
	{SettingDoc{"HedgeQuantile", "Float", "fraction", "0.95", "A sub-request that runs longer than this quantile of its service's latencies is hedged on another replica.", "0.1"},
		floatSetting(func(w *Workspace) *float64 { return &w.HedgeQuantile })},
	{SettingDoc{"HedgeFraction", "Float", "fraction", "0.05", "Hedges allowed per sub-request sent, as a token budget. 0 turns hedging off.", "0.1"},
		floatSetting(func(w *Workspace) *float64 { return &w.HedgeFraction })},
	{SettingDoc{"RetryFraction", "Float", "fraction", "0.1", "Retries allowed per sub-request sent, as a token budget.", "0.1"},
		floatSetting(func(w *Workspace) *float64 { return &w.RetryFraction })},
	{SettingDoc{"Canary", "String", "", "AfterCrash", "When a query whose content is not known as harmless is tried on one shard before the others: Always, AfterCrash (for two minutes after any backend server died under a request) or Never.", "0.1"},
		func(w *Workspace, v any) string {
			s, _ := v.(string)
			c, ok := ParseCanary(s)
			if !ok {
				return "is not Always, AfterCrash or Never"
			}
			w.Canary = c
			return ""
		}},
	{SettingDoc{"MaximumConcurrent", "Integer", "queries", "1000", "Queries of this workspace that one VM runs at a time; more are refused as NotRun.", "0.1"},
		func(w *Workspace, v any) string {
			n, ok := v.(int64)
			if !ok {
				return "is not a whole number"
			}
			w.MaximumConcurrent = int(n)
			return ""
		}},
}

// floatSetting returns a set function for the float64 setting that field points
// to.
func floatSetting(field func(*Workspace) *float64) func(*Workspace, any) string {
	return func(w *Workspace, v any) string {
		n, ok := asFloat(v)
		if !ok {
			return "is not a number"
		}
		*field(w) = n
		return ""
	}
}
