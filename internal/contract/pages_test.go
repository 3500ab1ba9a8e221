package contract_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	readme = "README.md"
	// pageTimeout only keeps a broken page from blocking the tests.
	pageTimeout = 60 * time.Second
	// maxConcurrentPages bounds the pages that run at the same time, and thus the
	// processes: a page starts about 15.
	maxConcurrentPages = 4
	// blockEnd marks the end of the output of each block of a page.
	blockEnd = "@@ end of block @@"
)

// Commands on the documentation pages must work as written and print the output
// shown: wrong ones mislead readers when it matters most. Blocks marked sh are run in
// order by one bash; the text blocks that follow one show lines of its output, with
// … for any text.
func TestPages(t *testing.T) {
	l, err := filepath.Glob(filepath.Join(moduleFolder, "docs", "operations", "*.md"))
	if err != nil || len(l) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	slots := make(chan struct{}, maxConcurrentPages)
	for _, f := range append(l, filepath.Join(moduleFolder, readme)) {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".md"), func(t *testing.T) {
			t.Parallel()
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			p := newPage(t, filepath.Base(f))
			blocks := fencedBlocks(p.replacePorts(t, string(b)))
			if !strings.Contains(string(b), "```sh\n") {
				return
			}
			slots <- struct{}{}
			defer func() { <-slots }()
			checkOutputs(t, blocks, p.run(t, blocks))
		})
	}
}

// page is one page and a folder that is laid out like the root of the source tree.
type page struct {
	site
	name string
}

func newPage(t *testing.T, name string) *page {
	t.Helper()
	p := &page{site: site{folder: t.TempDir(), ports: map[string]string{}, nextPort: reservePorts(t)}, name: name}
	if name == readme { // the readme builds the programs and needs no settings
		p.copyTree(t, "main.go", "go.mod", "go.sum", "internal", "pkg", "platform", "examples/examples.go", "examples/upstream",
			"examples/pichler/customer.jsonc", "examples/vineta-norte/customer.jsonc")
		return p
	}
	p.copyTree(t, "examples/run.sh", "examples/pichler", "examples/vineta-norte/customer.jsonc")
	bin := filepath.Join(p.folder, "bin")
	if err := os.Mkdir(bin, 0o700); err != nil {
		t.Fatal(err)
	}
	for n, pkg := range map[string]string{"gooseberrypick": ".", "upstream": "./examples/upstream"} {
		if err := os.Symlink(build(t, pkg), filepath.Join(bin, n)); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// copyTree copies files and folders of the source tree and replaces the ports in the
// settings of the examples by free ones.
func (p *page) copyTree(t *testing.T, names ...string) {
	t.Helper()
	for _, n := range names {
		err := filepath.WalkDir(filepath.Join(moduleFolder, n), func(from string, e os.DirEntry, err error) error {
			if err != nil || e.IsDir() || strings.HasSuffix(from, "_test.go") {
				return err
			}
			b, err := os.ReadFile(from)
			if err != nil {
				return err
			}
			if strings.HasSuffix(from, ".jsonc") {
				b = []byte(p.replacePorts(t, string(b)))
			}
			i, err := e.Info()
			if err != nil {
				return err
			}
			to := filepath.Join(p.folder, strings.TrimPrefix(from, moduleFolder))
			if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
				return err
			}
			return os.WriteFile(to, b, i.Mode())
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

const devBasePort = "--base-port 20100"

var pagePort = regexp.MustCompile(devBasePort + `|127\.0\.0\.1:2[0-2]\d{3}`)

// replacePorts replaces the ports of the examples and of gooseberrypick dev by free
// ones.
func (p *page) replacePorts(t *testing.T, s string) string {
	t.Helper()
	return pagePort.ReplaceAllStringFunc(s, func(a string) string {
		n, dev := strings.CutPrefix(a, "127.0.0.1:201")
		switch {
		case a == devBasePort:
			return fmt.Sprintf("--base-port %d", p.nextPort)
		case dev:
			k, _ := strconv.Atoi(n)
			return fmt.Sprintf("127.0.0.1:%d", p.nextPort+k)
		}
		return p.address(t, a)
	})
}

// block is one fenced block of a page.
type block struct {
	line       int
	mark, text string
}

func fencedBlocks(s string) []block {
	var l []block
	open := false
	for i, k := range strings.Split(s, "\n") {
		mark, fence := strings.CutPrefix(k, "```")
		switch {
		case fence && !open:
			l = append(l, block{line: i + 1, mark: mark})
		case !fence && open:
			l[len(l)-1].text += k + "\n"
		}
		open = open != fence
	}
	return l
}

// run runs the sh blocks of a page and returns the output of each, in order.
// Every process of the page belongs to the process group of its bash.
func (p *page) run(t *testing.T, blocks []block) []string {
	t.Helper()
	// Kills the processes of the page also if the test process dies without cleaning
	// up: the pipe at descriptor 3 is then closed. The subshell keeps this watcher out
	// of the list of jobs, which the blocks of the page may use.
	script := "( { read -r _ <&3 || kill -KILL 0; } & )\nset -euo pipefail\n"
	for _, b := range blocks {
		if b.mark == "sh" {
			script += b.text + "echo '" + blockEnd + "'\n"
		}
	}
	file := filepath.Join(t.TempDir(), "page.sh")
	if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := p.bash(t, file)
	l := strings.Split(out, blockEnd+"\n")
	n := 0
	for _, b := range blocks {
		if b.mark != "sh" {
			continue
		}
		if n++; n == len(l) {
			t.Fatalf("%s:%d: %v in\n%s\noutput:\n%s\nlogs:\n%s", p.name, b.line, err, b.text, l[n-1], p.logs())
		}
	}
	return l
}

func (p *page) bash(t *testing.T, file string) (string, error) {
	t.Helper()
	alive, test := pipe(t)
	output, w := pipe(t)
	c := exec.Command("bash", file)
	c.Dir = p.folder
	c.Env = append(os.Environ(), "PATH="+filepath.Join(p.folder, "bin")+":"+os.Getenv("PATH"), "LC_ALL=C", "GOFLAGS=-trimpath")
	c.Stdout, c.Stderr, c.ExtraFiles = w, w, []*os.File{alive}
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	w.Close()
	limit := time.AfterFunc(pageTimeout, func() { syscall.Kill(-c.Process.Pid, syscall.SIGKILL) })
	defer limit.Stop()
	read := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(output) // ends when no process of the page is left
		read <- b
	}()
	err := c.Wait()
	syscall.Kill(-c.Process.Pid, syscall.SIGKILL)
	test.Close()
	return string(<-read), err
}

func pipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Close()
		w.Close()
	})
	return r, w
}

// logs returns the last lines of the logs of the page's processes.
func (p *page) logs() string {
	var s strings.Builder
	l, _ := filepath.Glob(filepath.Join(p.folder, "data", "*", "log", "*.log"))
	for _, f := range l {
		b, _ := os.ReadFile(f)
		fmt.Fprintf(&s, "%s:\n%s\n", filepath.Base(f), tail(string(b), 2))
	}
	return s.String()
}

// checkOutputs checks that each text block after an sh block shows lines of its
// output, in order.
func checkOutputs(t *testing.T, blocks []block, outputs []string) {
	t.Helper()
	n, rest := -1, []string(nil)
	for _, b := range blocks {
		if b.mark == "sh" {
			n++
			rest = strings.Split(outputs[n], "\n")
			continue
		}
		if b.mark != "text" || n < 0 {
			continue
		}
		for i, want := range strings.Split(strings.TrimSpace(b.text), "\n") {
			k := indexLine(rest, want)
			if k < 0 {
				t.Errorf("line %d: the output has no line (or no later one) %q:\n%s", b.line+1+i, want, outputs[n])
				break
			}
			rest = rest[k+1:]
		}
	}
}

func indexLine(l []string, want string) int {
	p := strings.ReplaceAll(regexp.QuoteMeta(strings.Join(strings.Fields(want), " ")), "…", ".*")
	r := regexp.MustCompile("^" + p + "$")
	for i, k := range l {
		if r.MatchString(strings.Join(strings.Fields(k), " ")) {
			return i
		}
	}
	return -1
}

// tableCells returns the cells of the tables of a page without the header rows, and
// the first cell of each row without its backquotes.
func tableCells(t *testing.T, name string) [][]string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(moduleFolder, "docs", "operations", name))
	if err != nil {
		t.Fatal(err)
	}
	var rows [][]string
	for _, k := range strings.Split(string(b), "\n") {
		if !strings.HasPrefix(k, "| `") {
			continue
		}
		c := strings.Split(strings.Trim(k, "| "), "|")
		for i := range c {
			c[i] = strings.TrimSpace(c[i])
		}
		c[0] = strings.Trim(c[0], "`")
		rows = append(rows, c)
	}
	return rows
}
