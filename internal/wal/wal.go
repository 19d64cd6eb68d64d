// Package wal implements a write-ahead log: files of records that survive a crash.
//
// A [Log] is a file of checksummed records. [Log.Append] writes one record and
// syncs it before it returns. Since the next record is written only after
// that, a crash can corrupt only the last record. Opening a log therefore
// truncates a corrupt tail, but fails if valid records follow a corrupt one.
// [WriteFile] atomically replaces a small file with a single record.
package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/gravitational/trace"
)

const (
	// headerBytes is the size of a record's header, its length and checksum.
	headerBytes = 8
	// maxRecordBytes is the maximum size of one record.
	maxRecordBytes = 1 << 30
	dirMode        = 0o750
	fileMode       = 0o640
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports files whose content cannot be trusted: data that had been synced is lost.
type CorruptionError struct {
	File   string
	Offset int64
	// Reason says what is wrong; empty for a corrupt record that valid records follow.
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	if e.Reason != "" {
		return fmt.Sprintf("%s: %s; refusing to use the file", e.File, e.Reason)
	}
	return fmt.Sprintf("%s: record at offset %d is corrupt and valid records follow it; refusing to use the file", e.File, e.Offset)
}

// Log is an append-only file of records. It is not safe for concurrent use.
type Log struct {
	path string
	f    *os.File
	size int64
}

// ChangeKind is a kind of change of a file or directory.
type ChangeKind int

// The kinds of changes.
const (
	ChangeCreate ChangeKind = iota
	ChangeWrite
	ChangeTruncate
	ChangeSync
	ChangeRename
	ChangeRemove
	ChangeSyncDir
)

// Change is a change of a file or directory.
type Change struct {
	Kind ChangeKind
	Path string
	// From is the earlier path of a file that is renamed.
	From string
}

// Interrupt is called before each change; an error ends the operation there, as a crash would. Only tests
// set it.
var Interrupt atomic.Pointer[func(Change) error]

// ErrTornWrite is returned by [Interrupt] to end a write after half of its bytes.
var ErrTornWrite = errors.New("interrupted within a write")

// beforeChange calls [Interrupt].
func beforeChange(c Change) error {
	if f := Interrupt.Load(); f != nil {
		return (*f)(c)
	}
	return nil
}

// Rename renames a file or directory. [SyncDir] makes that durable.
func Rename(oldPath, newPath string) error {
	if err := beforeChange(Change{Kind: ChangeRename, Path: newPath, From: oldPath}); err != nil {
		return err
	}
	return trace.ConvertSystemError(os.Rename(oldPath, newPath))
}

// Remove removes a file; one that does not exist is no error.
func Remove(path string) error {
	if err := beforeChange(Change{Kind: ChangeRemove, Path: path}); err != nil {
		return err
	}
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	return nil
}

// MakeDir creates a directory if it does not exist, and makes its name durable in its parent.
func MakeDir(path string) error {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	return SyncDir(filepath.Dir(path))
}

// Open opens or creates the log at path and passes each record to replay in
// order. It returns a [*CorruptionError] if valid records follow a corrupt one.
func Open(path string, replay func(record []byte) error) (*Log, error) {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if err := beforeChange(Change{Kind: ChangeCreate, Path: path}); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	l := &Log{path: path, f: f}
	if err := l.load(replay); err != nil {
		_ = f.Close()
		return nil, err
	}
	if err := SyncDir(filepath.Dir(path)); err != nil {
		_ = f.Close()
		return nil, err
	}
	return l, nil
}

// load replays the valid records and truncates a torn tail. The remaining records are durable afterwards:
// a process that was killed may have written the last one without syncing it.
func (l *Log) load(replay func([]byte) error) error {
	end, err := l.scan(replay)
	if err != nil {
		return err
	}
	info, err := l.f.Stat()
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if info.Size() > end {
		if err := l.checkTail(end); err != nil {
			return err
		}
		if err := l.truncate(end); err != nil {
			return err
		}
	}
	if info.Size() > 0 {
		if err := l.sync(); err != nil {
			return err
		}
	}
	l.size = end
	_, err = l.f.Seek(end, io.SeekStart)
	return trace.ConvertSystemError(err)
}

// scan replays records up to the first invalid one and returns the offset of that one.
func (l *Log) scan(replay func([]byte) error) (int64, error) {
	r := bufio.NewReaderSize(l.f, 1<<20)
	var offset int64
	for {
		record, err := readRecord(r)
		if errors.Is(err, errInvalidRecord) || errors.Is(err, io.EOF) {
			return offset, nil
		}
		if err != nil {
			return 0, trace.Wrap(err, "reading %s", l.path)
		}
		if err := replay(record); err != nil {
			return 0, trace.Wrap(err, "%s: record at offset %d", l.path, offset)
		}
		offset += headerBytes + int64(len(record))
	}
}

// checkTail returns an error if a valid record follows the invalid one at offset.
func (l *Log) checkTail(offset int64) error {
	data, err := io.ReadAll(io.NewSectionReader(l.f, offset, maxRecordBytes))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for i := 1; i+headerBytes < len(data); i++ {
		if hasValidRecord(data[i:]) {
			return &CorruptionError{File: l.path, Offset: offset}
		}
	}
	return nil
}

func (l *Log) truncate(size int64) error {
	if err := beforeChange(Change{Kind: ChangeTruncate, Path: l.path}); err != nil {
		return err
	}
	return trace.ConvertSystemError(l.f.Truncate(size))
}

func (l *Log) sync() error {
	if err := beforeChange(Change{Kind: ChangeSync, Path: l.path}); err != nil {
		return err
	}
	return trace.ConvertSystemError(l.f.Sync())
}

var errInvalidRecord = errors.New("invalid record")

// readRecord returns the next record, io.EOF at the end of the file, or errInvalidRecord.
func readRecord(r io.Reader) ([]byte, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errInvalidRecord
		}
		return nil, err
	}
	n := binary.LittleEndian.Uint32(h[:4])
	if n == 0 || n > maxRecordBytes {
		return nil, errInvalidRecord
	}
	record, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(record) < int(n) || crc32.Checksum(record, castagnoli) != binary.LittleEndian.Uint32(h[4:]) {
		return nil, errInvalidRecord
	}
	return record, nil
}

// hasValidRecord reports whether data starts with a complete record with a matching checksum.
func hasValidRecord(data []byte) bool {
	n := binary.LittleEndian.Uint32(data[:4])
	if n == 0 || int64(n) > int64(len(data)-headerBytes) {
		return false
	}
	body := data[headerBytes : headerBytes+int(n)]
	return crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(data[4:headerBytes])
}

// Append writes one record and syncs it. After an error the log must not be
// used again, since the state of the file is unknown. The record is then removed from the file if
// possible: what a failed sync leaves can be read, but may not be on the disk.
func (l *Log) Append(record []byte) error {
	if len(record) == 0 || len(record) > maxRecordBytes {
		return trace.BadParameter("invalid record size of %d bytes", len(record))
	}
	buf := make([]byte, headerBytes+len(record))
	binary.LittleEndian.PutUint32(buf[:4], uint32(len(record)))
	binary.LittleEndian.PutUint32(buf[4:8], crc32.Checksum(record, castagnoli))
	copy(buf[headerBytes:], record)
	if err := beforeChange(Change{Kind: ChangeWrite, Path: l.path}); err != nil {
		if errors.Is(err, ErrTornWrite) {
			_, _ = l.f.Write(buf[:len(buf)/2])
		}
		return err
	}
	_, err := l.f.Write(buf)
	if err == nil {
		err = l.sync()
	}
	if err != nil {
		_ = l.truncate(l.size) // the first error is returned
		return trace.ConvertSystemError(err)
	}
	l.size += int64(len(buf))
	return nil
}

// Size returns the file's size in bytes.
func (l *Log) Size() int64 { return l.size }

// Path returns the file's path.
func (l *Log) Path() string { return l.path }

// Close closes the file.
func (l *Log) Close() error { return trace.ConvertSystemError(l.f.Close()) }

// WriteFile atomically replaces the file at path with one checksummed record.
func WriteFile(path string, record []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	tempPath := path + ".tmp"
	if err := Remove(tempPath); err != nil {
		return err
	}
	l, err := Open(tempPath, func([]byte) error { return nil })
	if err != nil {
		return err
	}
	if err := l.Append(record); err != nil {
		_ = l.Close()
		return err
	}
	if err := l.Close(); err != nil {
		return err
	}
	if err := Rename(tempPath, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// ReplaceFile atomically replaces the file at path with data as it is.
func ReplaceFile(path string, data []byte, mode os.FileMode) error {
	tempPath := path + ".tmp"
	if err := Remove(tempPath); err != nil {
		return err
	}
	if err := writeNew(tempPath, data, mode); err != nil {
		return err
	}
	if err := Rename(tempPath, path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// writeNew creates a file and syncs it.
func writeNew(path string, data []byte, mode os.FileMode) error {
	if err := beforeChange(Change{Kind: ChangeCreate, Path: path}); err != nil {
		return err
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	l := &Log{path: path, f: f}
	err = beforeChange(Change{Kind: ChangeWrite, Path: path})
	if errors.Is(err, ErrTornWrite) {
		_, _ = f.Write(data[:len(data)/2])
	}
	if err == nil {
		_, err = f.Write(data)
	}
	if err == nil {
		err = l.sync()
	}
	return trace.ConvertSystemError(errors.Join(err, f.Close()))
}

// ReadFile returns the record written by [WriteFile], which is durable then: a process that was killed may
// have renamed the file without syncing the directory. It returns a trace.NotFound error if the file is
// missing and a [*CorruptionError] if it is corrupt.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	record, err := readRecord(bufio.NewReader(f))
	if err != nil {
		return nil, &CorruptionError{File: path}
	}
	return record, SyncDir(filepath.Dir(path))
}

// SyncDir syncs a directory, which makes renames and new files in it durable.
func SyncDir(path string) error {
	if err := beforeChange(Change{Kind: ChangeSyncDir, Path: path}); err != nil {
		return err
	}
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	return trace.ConvertSystemError(f.Sync())
}
