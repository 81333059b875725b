// Package buildinfo describes the build of a program.
package buildinfo

import (
	"fmt"
	"runtime/debug"
)

// Line returns one line with the program's name, module version, revision and Go release, as far as the build recorded
// them.
func Line(program string) string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return program + " (no build information)"
	}
	return line(program, info)
}

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
