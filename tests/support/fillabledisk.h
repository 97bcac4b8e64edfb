#pragma once

#include "mimosahollow/storage/filesystem.h"

#include <atomic>
#include <cerrno>
#include <memory>
#include <string>

namespace mimosahollow::tests {

/** What a test does to a disk while threads use it. */
struct DiskState
{
    std::atomic<bool> isFull = false; /**< Each write ends in its middle. */
    std::atomic<bool> failsSyncs = false;
    std::atomic<unsigned> refusedWrites = 0;
};

/** The file system of the operating system on a disk that a test fills. */
class FillableDisk : public storage::FileSystem
{
public:
    explicit FillableDisk(std::shared_ptr<DiskState> state) : m_state(std::move(state)), m_files(storage::posixFileSystem())
    {
    }

    storage::FileStatus makeFolder(const std::string &path) override
    {
        return m_files->makeFolder(path);
    }
    storage::FileResult<std::vector<std::string>> list(const std::string &folder) override
    {
        return m_files->list(folder);
    }
    storage::FileResult<std::vector<std::uint8_t>> read(const std::string &path) override
    {
        return m_files->read(path);
    }
    storage::FileResult<std::unique_ptr<storage::AppendFile>> openAppend(const std::string &path) override
    {
        auto opened = m_files->openAppend(path);
        if (auto *file = std::get_if<std::unique_ptr<storage::AppendFile>>(&opened)) {
            return std::make_unique<File>(m_state, std::move(*file));
        }
        return opened;
    }
    storage::FileStatus truncate(const std::string &path, std::uint64_t size) override
    {
        return m_files->truncate(path, size);
    }
    storage::FileStatus rename(const std::string &from, const std::string &to) override
    {
        return m_files->rename(from, to);
    }
    storage::FileStatus remove(const std::string &path) override
    {
        return m_files->remove(path);
    }
    storage::FileStatus syncFolder(const std::string &folder) override
    {
        return m_files->syncFolder(folder);
    }

private:
    class File : public storage::AppendFile
    {
    public:
        File(std::shared_ptr<DiskState> state, std::unique_ptr<storage::AppendFile> file) : m_state(std::move(state)), m_file(std::move(file))
        {
        }

        storage::FileResult<std::size_t> write(std::span<const std::uint8_t> data) override
        {
            if (!m_state->isFull) {
                return m_file->write(data);
            }
            ++m_state->refusedWrites;
            static_cast<void>(m_file->write(data.first(data.size() / 2)));
            return storage::FileError{ENOSPC, "write: no space left"};
        }

        storage::FileStatus sync() override
        {
            if (m_state->failsSyncs) {
                return storage::FileError{EIO, "fdatasync: injected", true};
            }
            return m_file->sync();
        }

    private:
        std::shared_ptr<DiskState> m_state;
        std::unique_ptr<storage::AppendFile> m_file;
    };

    std::shared_ptr<DiskState> m_state;
    std::unique_ptr<storage::FileSystem> m_files;
};

} // namespace mimosahollow::tests
