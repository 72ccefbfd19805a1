package cmd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

const referencePage = "../docs/command-line.md"

// TestReferencePageNamesEveryCommandAndFlag holds the page to the commands and
// flags of the operators' client.
func TestReferencePageNamesEveryCommandAndFlag(t *testing.T) {
	parser, err := kong.New(&commandLine{})
	if err != nil {
		t.Fatalf("New: got %v, want nil", err)
	}

	page := sectionsOf(t, referencePage)["monsoonlever"]
	checkFlags(t, "monsoonlever", page.all(), parser.Model.Flags)

	for _, command := range parser.Model.Children {
		section, ok := page.commands[command.Name]
		if !ok {
			t.Errorf("section of %s: got none, want one", command.Name)
		}

		checkFlags(t, command.Name, page.head+section, command.Flags)
	}
}

// TestReferencePageNamesNoOtherCommandOrFlag finds what the client no longer has.
func TestReferencePageNamesNoOtherCommandOrFlag(t *testing.T) {
	parser, err := kong.New(&commandLine{})
	if err != nil {
		t.Fatalf("New: got %v, want nil", err)
	}

	commands := make(map[string]map[string]bool)

	for _, command := range parser.Model.Children {
		commands[command.Name] = flagNames(parser.Model.Flags, command.Flags)
	}

	for name, section := range sectionsOf(t, referencePage)["monsoonlever"].commands {
		if commands[name] == nil {
			t.Errorf("command %s: on the page, want none of that name", name)
		}

		for _, row := range regexp.MustCompile("(?m)^\\| `--([a-z-]+)`").FindAllStringSubmatch(section, -1) {
			if !commands[name][row[1]] {
				t.Errorf("flag --%s of %s: on the page, want none of that name", row[1], name)
			}
		}
	}
}

// TestReferencePageNamesFlagsOfPrograms reads the usage of the other programs.
func TestReferencePageNamesFlagsOfPrograms(t *testing.T) {
	page := sectionsOf(t, referencePage)

	for _, c := range []struct {
		program string
		command string
	}{
		{program: "monsoonleverd"},
		{program: "monsoonlever-standins", command: "platform"},
		{program: "monsoonlever-standins", command: "engine"},
		{program: "monsoonlever-standins", command: "plain"},
	} {
		t.Run(c.program+" "+c.command, func(t *testing.T) {
			section := page[c.program].head + page[c.program].commands[c.command]

			flags := regexp.MustCompile(`(?m)^\s+(?:-\w, +)?--([a-z-]+)`).FindAllStringSubmatch(usage(t, c.program, c.command), -1)
			if len(flags) == 0 {
				t.Fatal("flags in the usage: got none, want some")
			}

			for _, flag := range flags {
				if flag[1] != "help" && !namesFlag(section, flag[1]) {
					t.Errorf("flag --%s: got no row, want one", flag[1])
				}
			}
		})
	}
}

// pageSection is the part of the page on one program.
type pageSection struct {
	head     string
	commands map[string]string
}

func (s pageSection) all() string {
	all := s.head
	for _, section := range s.commands {
		all += section
	}

	return all
}

// sectionsOf splits the page by programs and their commands.
func sectionsOf(t *testing.T, path string) map[string]pageSection {
	t.Helper()

	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("ReadFile: got %v, want nil", err)
	}

	sections := make(map[string]pageSection)

	for _, program := range strings.Split(string(data), "\n## `")[1:] {
		name, rest, _ := strings.Cut(program, "`")
		parts := strings.Split(rest, "\n### `")
		section := pageSection{head: parts[0], commands: make(map[string]string)}

		for _, part := range parts[1:] {
			title, body, _ := strings.Cut(part, "`")
			command, _, _ := strings.Cut(title, " ")
			section.commands[command] = body
		}

		sections[name] = section
	}

	return sections
}

func namesFlag(section, flag string) bool {
	return strings.Contains(section, fmt.Sprintf("`--%s`", flag))
}

func checkFlags(t *testing.T, of, section string, flags []*kong.Flag) {
	t.Helper()

	for _, flag := range flags {
		if !namesFlag(section, flag.Name) {
			t.Errorf("flag --%s of %s: got no row, want one", flag.Name, of)
		}
	}
}

func flagNames(groups ...[]*kong.Flag) map[string]bool {
	names := make(map[string]bool)

	for _, flags := range groups {
		for _, flag := range flags {
			names[flag.Name] = true
		}
	}

	return names
}

// usage builds a program and returns what it prints for --help.
func usage(t *testing.T, program, command string) string {
	t.Helper()

	binary := filepath.Join(t.TempDir(), program)
	if out, err := exec.Command("go", "build", "-o", binary, "../"+program).CombinedOutput(); err != nil {
		t.Fatalf("build: got %v, want nil\n%s", err, out)
	}

	args := []string{"--help"}
	if command != "" {
		args = []string{command, "--help"}
	}

	out, err := exec.Command(binary, args...).Output()
	if err != nil {
		t.Fatalf("usage: got %v, want nil", err)
	}

	return string(out)
}
