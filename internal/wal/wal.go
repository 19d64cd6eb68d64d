// Package wal keeps records in files that survive a crash.
//
// A [Log] is a file of checksummed records. [Log.Append] writes one record and
// syncs it before it returns; since the next record is written only after
// that, a crash can damage none but the last record. Opening a log therefore
// cuts a damaged tail, and refuses a damaged record that sound ones follow.
// [WriteFile] replaces a whole small file with the same care.
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

	"github.com/gravitational/trace"
)

const (
	// headerBytes is the size of a record's length and checksum.
	headerBytes = 8
	// maxRecordBytes bounds one record.
	maxRecordBytes = 1 << 30
	folderMode     = 0o750
	fileMode       = 0o640
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// DamageError reports a damaged record that sound records follow: the file
// lost something that had been synced.
type DamageError struct {
	File   string
	Offset int64
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: record at offset %d is damaged and sound records follow it; the file is not used", e.File, e.Offset)
}

// Log is an append-only file of records. It is not safe for concurrent use.
type Log struct {
	path string
	f    *os.File
	size int64
}

// Open opens or creates the log at path and passes each record to replay in
// order. It returns a [*DamageError] when the middle of the file is damaged.
func Open(path string, replay func(record []byte) error) (*Log, error) {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return nil, trace.ConvertSystemError(err)
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
	if err := SyncFolder(filepath.Dir(path)); err != nil {
		_ = f.Close()
		return nil, err
	}
	return l, nil
}

// load replays the sound records and cuts a torn tail.
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
		if err := l.cutTail(end); err != nil {
			return err
		}
	}
	l.size = end
	_, err = l.f.Seek(end, io.SeekStart)
	return trace.ConvertSystemError(err)
}

// scan replays records until the first that is not sound and returns its
// offset.
func (l *Log) scan(replay func([]byte) error) (int64, error) {
	r := bufio.NewReaderSize(l.f, 1<<20)
	var offset int64
	for {
		record, err := readRecord(r)
		if errors.Is(err, errUnsound) || errors.Is(err, io.EOF) {
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

// cutTail drops what follows offset, unless a sound record stands there.
func (l *Log) cutTail(offset int64) error {
	data, err := io.ReadAll(io.NewSectionReader(l.f, offset, maxRecordBytes))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	for i := 1; i+headerBytes < len(data); i++ {
		if soundAt(data[i:]) {
			return &DamageError{File: l.path, Offset: offset}
		}
	}
	if err := l.f.Truncate(offset); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(l.f.Sync())
}

var errUnsound = errors.New("record is not sound")

// readRecord returns the next record, io.EOF at a clean end, or errUnsound.
func readRecord(r io.Reader) ([]byte, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errUnsound
		}
		return nil, err
	}
	n := binary.LittleEndian.Uint32(h[:4])
	if n == 0 || n > maxRecordBytes {
		return nil, errUnsound
	}
	record, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(record) < int(n) || crc32.Checksum(record, castagnoli) != binary.LittleEndian.Uint32(h[4:]) {
		return nil, errUnsound
	}
	return record, nil
}

// soundAt reports whether a whole record with a right checksum starts data.
func soundAt(data []byte) bool {
	n := binary.LittleEndian.Uint32(data[:4])
	if n == 0 || int64(n) > int64(len(data)-headerBytes) {
		return false
	}
	body := data[headerBytes : headerBytes+int(n)]
	return crc32.Checksum(body, castagnoli) == binary.LittleEndian.Uint32(data[4:headerBytes])
}

// Append writes one record and syncs it. After an error the log must not be
// used again: what is on disk is not known.
func (l *Log) Append(record []byte) error {
	if len(record) == 0 || len(record) > maxRecordBytes {
		return trace.BadParameter("record of %d bytes", len(record))
	}
	buf := make([]byte, headerBytes+len(record))
	binary.LittleEndian.PutUint32(buf[:4], uint32(len(record)))
	binary.LittleEndian.PutUint32(buf[4:8], crc32.Checksum(record, castagnoli))
	copy(buf[headerBytes:], record)
	if _, err := l.f.Write(buf); err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := l.f.Sync(); err != nil {
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

// WriteFile replaces the file at path by one checksummed record, atomically.
func WriteFile(path string, record []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	temp := path + ".tmp"
	if err := os.Remove(temp); err != nil && !os.IsNotExist(err) {
		return trace.ConvertSystemError(err)
	}
	l, err := Open(temp, func([]byte) error { return nil })
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
	if err := os.Rename(temp, path); err != nil {
		return trace.ConvertSystemError(err)
	}
	return SyncFolder(filepath.Dir(path))
}

// ReadFile returns the record that [WriteFile] wrote. A missing file is a
// trace.NotFound error; a damaged one is a [*DamageError].
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	record, err := readRecord(bufio.NewReader(f))
	if err != nil {
		return nil, &DamageError{File: path}
	}
	return record, nil
}

// SyncFolder makes renames and new files in a folder durable.
func SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	return trace.ConvertSystemError(f.Sync())
}
