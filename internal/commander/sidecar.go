package commander

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gentianlever/gentianlever/internal/conductor"
	"github.com/gentianlever/gentianlever/internal/recorder"
	"github.com/gentianlever/gentianlever/internal/validator"
)

type sidecarArguments struct {
	Settings string `arg:"--settings,required,env:GENTIANLEVER_CONFIG" help:"settings of the sidecar, in JSON"`
}

// settingsInterval is the time between looks at the settings file, which may change
// without a signal.
const settingsInterval = 2 * time.Second

// sidecar runs a node that serves a routing table until SIGTERM or an interrupt. SIGHUP
// reads the settings again.
func (c *Commander) sidecar(args *sidecarArguments) error {
	data, err := os.ReadFile(args.Settings)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	s, err := validator.ParseSidecar(args.Settings, data)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var level slog.LevelVar
	level.Set(s.LogLevel)
	lines := recorder.Recorder{
		Out:   c.Stdout,
		Level: &level,
	}
	reload := make(chan *validator.Sidecar, 1)
	n := conductor.Conductor{
		Settings: s,
		Log:      lines.Logger(),
		Dropped:  lines.Dropped,
		Reload:   reload,
	}
	w := settingsWatcher{
		file:    args.Settings,
		data:    data,
		hangups: hangups,
		level:   &level,
		reload:  reload,
		log:     n.Log,
	}
	background, end := context.WithCancel(context.Background())
	p := pool.New().WithContext(background)
	p.Go(lines.Run)
	p.Go(w.run)
	err = n.Run(ctx)
	if err != nil {
		n.Log.Error(recorder.NodeFailed, "error", err.Error())
	}
	end()
	_ = p.Wait() // neither function returns an error
	return err
}

// settingsWatcher reads the settings again when they change.
type settingsWatcher struct {
	file    string
	data    []byte
	hangups <-chan os.Signal
	level   *slog.LevelVar
	reload  chan<- *validator.Sidecar
	log     *slog.Logger
}

func (w *settingsWatcher) run(ctx context.Context) error {
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.hangups:
			w.log.Info(recorder.HangupReceived)
		case <-tick.C:
		}
		w.look()
	}
}

// look puts changed settings in force. Settings with faults change nothing.
func (w *settingsWatcher) look() {
	data, err := os.ReadFile(w.file)
	if err != nil {
		w.log.Error(recorder.SettingsUnreadable, "file", w.file, "error", err.Error())
		return
	}
	if bytes.Equal(data, w.data) {
		return
	}
	w.data = data
	s, err := validator.ParseSidecar(w.file, data)
	if err != nil {
		w.log.Error(recorder.SettingsFaulty, "file", w.file, "error", err.Error())
		return
	}
	w.level.Set(s.LogLevel)
	select {
	case w.reload <- s:
	default:
		// The node has stopped taking settings, because it is shutting down.
		w.log.Warn(recorder.SettingsNotTaken, "file", w.file)
	}
}
