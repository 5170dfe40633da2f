package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"testing"

	"github.com/celeryyard/celeryyard/kernel/kerneltest"
)

// build holds the result of the build that ProgramDir runs.
var build struct {
	once sync.Once
	dir  string
	err  error
	out  []byte
}

// ProgramDir returns the folder with the built programs. It builds them on the first call, unless
// the environment variable CELERYYARD_BIN names a folder with built programs.
func ProgramDir(t testing.TB) string {
	t.Helper()
	if dir := os.Getenv("CELERYYARD_BIN"); dir != "" {
		return dir
	}
	build.once.Do(func() {
		if build.dir, build.err = os.MkdirTemp("", "celeryyard-bin-"); build.err != nil {
			return
		}
		cmd := exec.Command("go", "build", "-o", build.dir+"/", "./cmd/...")
		cmd.Dir = RepositoryRoot()
		build.out, build.err = cmd.CombinedOutput()
	})
	if build.err != nil {
		t.Fatalf("build: %v\n%s", build.err, build.out)
	}
	return build.dir
}

// RepositoryRoot returns the root folder of the repository.
func RepositoryRoot() string {
	_, file, _, _ := runtime.Caller(0)
	return filepath.Join(filepath.Dir(file), "..", "..")
}

// Main runs the tests of a package, removes the built programs and returns the exit code. It is
// called from TestMain.
func Main(m *testing.M) int {
	code := m.Run()
	if build.dir != "" {
		_ = os.RemoveAll(build.dir)
	}
	return code
}

// FreeAddress returns a free loopback address IP:port. It returns no address twice in a test program.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return kerneltest.FreeAddress(t)
}
