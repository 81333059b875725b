package testsupport

import (
	"flag"
	"fmt"

	_ "pgregory.net/rapid" // It registers the flags that FixRapid sets.
)

// FixRapid sets the seed of the property tests, so that a run can be reproduced, and the number of their checks, unless that is
// empty. Tests call it from init: the flags -rapid.seed and -rapid.checks override it.
func FixRapid(seed, checks string) {
	setFlag("rapid.seed", seed)
	if checks != "" {
		setFlag("rapid.checks", checks)
	}
	fmt.Println("rapid seed", seed)
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
