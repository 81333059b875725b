// Package buildinfo reports the version and the revision that a program was built from.
package buildinfo

import (
	"fmt"
	"runtime/debug"
)

// Line returns one line with the name of the program, its module version, VCS revision and Go release, as far as they are
// recorded in the build information.
func Line(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " (no build information)"
	}
	return line(program, info)
}

// line formats the build information of a program. A build from a modified working tree is marked as such.
func line(program string, info *debug.BuildInfo) string {
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	text := fmt.Sprintf("%s %s", program, info.Main.Version)
	if revision := settings["vcs.revision"]; revision != "" {
		text += " revision " + revision
		if settings["vcs.modified"] == "true" {
			text += " (modified)"
		}
	}
	return text + " " + info.GoVersion
}
