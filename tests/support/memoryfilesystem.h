#pragma once

#include "mimosahollow/storage/filesystem.h"

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace mimosahollow::test {

using storage::FileError;
using storage::FileResult;
using storage::FileStatus;

/** What happens at the operation that a test picks. */
enum class Fault {
    Fail, /**< The operation reports an error, and a write is done in part; later ones work. */
    Crash, /**< The operation may be done in part; every later one fails until crash(). */
};

/**
 * File system in memory. Data is lost in crash() unless it was synced, names unless their folder was; what happens to the
 * rest is random, as on a disk that writes pages in any order.
 */
class MemoryFileSystem : public storage::FileSystem
{
public:
    struct File
    {
        std::vector<std::uint8_t> data;
        std::size_t synced = 0;
    };

    std::map<std::string, std::shared_ptr<File>> names;
    std::map<std::string, std::shared_ptr<File>> durableNames;
    std::uint64_t operations = 0; /**< Changing operations so far. */
    std::uint64_t faultAt = 0; /**< Operation with the fault, 0 for none. */
    Fault fault = Fault::Fail;
    std::size_t writeLimit = SIZE_MAX; /**< Longest single write: shorter ones are short writes. */
    std::atomic<std::size_t> capacity = SIZE_MAX; /**< Bytes of the disk. */
    std::uint64_t refuseFrom = 0; /**< Number of the operation from which on those that are no syncs are refused, as long as there are refusals. */
    std::uint64_t refusals = 0; /**< How many operations are still to be refused. */
    std::uint64_t failSyncFrom = 0; /**< Number of the operation from which on syncs fail, 0 for none. */
    bool crashed = false;
    std::uint64_t syncs = 0;

    class Handle : public storage::AppendFile
    {
    public:
        Handle(MemoryFileSystem &system, std::shared_ptr<File> file) : m_system(system), m_file(std::move(file))
        {
        }

        FileResult<std::size_t> write(std::span<const std::uint8_t> data) override
        {
            if (m_system.used() >= m_system.capacity) {
                return FileError{ENOSPC, "write: disk full"};
            }
            const std::size_t count = std::min({data.size(), m_system.writeLimit, m_system.capacity.load() - m_system.used()});
            const bool good = m_system.step();
            // A crash in the middle of a write leaves a part of it, and so may a refusal.
            const std::size_t done = good ? count : count / 2;
            m_file->data.insert(m_file->data.end(), data.begin(), data.begin() + static_cast<std::ptrdiff_t>(done));
            if (!good) {
                return FileError{EIO, "write: injected"};
            }
            return count;
        }

        FileStatus sync() override
        {
            if (!m_system.step(true)) {
                return FileError{EIO, "sync: injected", true};
            }
            ++m_system.syncs;
            m_file->synced = m_file->data.size();
            return std::monostate{};
        }

    private:
        MemoryFileSystem &m_system;
        std::shared_ptr<File> m_file;
    };

    FileStatus makeFolder(const std::string & /*path*/) override
    {
        return std::monostate{};
    }

    FileResult<std::vector<std::string>> list(const std::string &folder) override
    {
        std::vector<std::string> result;
        for (const auto &element : names) {
            if (element.first.starts_with(folder + "/")) {
                result.push_back(element.first.substr(folder.size() + 1));
            }
        }
        return result;
    }

    FileResult<std::vector<std::uint8_t>> read(const std::string &path) override
    {
        const auto found = names.find(path);
        if (found == names.end()) {
            return FileError{ENOENT, "read " + path + ": no such file"};
        }
        return found->second->data;
    }

    FileResult<std::unique_ptr<storage::AppendFile>> openAppend(const std::string &path) override
    {
        if (!names.contains(path)) {
            if (used() >= capacity) {
                return FileError{ENOSPC, "open: disk full"};
            }
            if (!step()) {
                return FileError{EIO, "open: injected"};
            }
            names[path] = std::make_shared<File>();
        }
        return std::make_unique<Handle>(*this, names.at(path));
    }

    FileStatus truncate(const std::string &path, std::uint64_t size) override
    {
        if (!step()) {
            return FileError{EIO, "truncate: injected"};
        }
        File &file = *names.at(path);
        file.data.resize(size);
        file.synced = size;
        return std::monostate{};
    }

    FileStatus rename(const std::string &from, const std::string &to) override
    {
        if (!step()) {
            return FileError{EIO, "rename: injected"};
        }
        names[to] = names.at(from);
        names.erase(from);
        return std::monostate{};
    }

    FileStatus remove(const std::string &path) override
    {
        if (!step()) {
            return FileError{EIO, "remove: injected"};
        }
        names.erase(path);
        return std::monostate{};
    }

    FileStatus syncFolder(const std::string & /*folder*/) override
    {
        if (!step(true)) {
            return FileError{EIO, "sync folder: injected", true};
        }
        durableNames = names;
        return std::monostate{};
    }

    /** Power loss: keeps what is durable and a random part of the rest. */
    void crash(std::mt19937_64 &random)
    {
        std::set<std::string> paths;
        for (const auto &element : names) {
            paths.insert(element.first);
        }
        for (const auto &element : durableNames) {
            paths.insert(element.first);
        }
        std::map<std::string, std::shared_ptr<File>> kept;
        for (const std::string &path : paths) {
            const auto &source = random() % 2 == 0 ? names : durableNames;
            const auto found = source.find(path);
            if (found != source.end()) {
                kept[path] = std::make_shared<File>(*found->second);
                loseUnsynced(*kept[path], random);
            }
        }
        names = kept;
        durableNames = kept;
        crashed = false;
        faultAt = 0;
        refusals = 0;
    }

    [[nodiscard]] std::size_t used() const
    {
        std::size_t sum = 0;
        for (const auto &element : names) {
            sum += element.second->data.size();
        }
        return sum;
    }

private:
    static void loseUnsynced(File &file, std::mt19937_64 &random)
    {
        const std::size_t unsynced = file.data.size() - file.synced;
        const std::size_t left = unsynced == 0 ? 0 : random() % (unsynced + 1);
        // The size may be durable before the data: zeros in the place of pages that were never written.
        const bool zeros = random() % 4 == 0;
        std::fill(file.data.begin() + static_cast<std::ptrdiff_t>(file.synced + left), file.data.end(), std::uint8_t{0});
        if (!zeros) {
            file.data.resize(file.synced + left);
        }
        file.synced = file.data.size();
    }

    bool step(bool isSync = false)
    {
        if (crashed) {
            return false;
        }
        ++operations;
        if (isSync && failSyncFrom != 0 && operations >= failSyncFrom) {
            return false;
        }
        if (operations != faultAt) {
            const bool isRefused = !isSync && refusals > 0 && operations >= refuseFrom;
            refusals -= isRefused ? 1 : 0;
            return !isRefused;
        }
        crashed = fault == Fault::Crash;
        return false;
    }
};

} // namespace mimosahollow::test
