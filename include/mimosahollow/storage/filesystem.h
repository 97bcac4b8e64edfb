#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace mimosahollow::storage {

/** A failed operation of the file system. */
struct FileError
{
    int code = 0; /**< errno, 0 when the operating system gave none. */
    std::string message; /**< Operation, path and reason. */
    bool isSync = false; /**< A sync failed: it is not known what is durable. Otherwise the operation was refused and what was durable still is. */
};

/** Success, or why not. */
using FileStatus = std::variant<std::monostate, FileError>;
template<typename T>
using FileResult = std::variant<T, FileError>;

/** A file that is open for appending. */
class AppendFile
{
public:
    AppendFile() = default;
    AppendFile(const AppendFile &) = delete;
    AppendFile &operator=(const AppendFile &) = delete;
    virtual ~AppendFile() = default;

    /** Appends @p data; may write fewer bytes than asked for. After an error, a part of @p data may be in the file. */
    [[nodiscard]] virtual FileResult<std::size_t> write(std::span<const std::uint8_t> data) = 0;
    /** Returns once everything written is durable. */
    [[nodiscard]] virtual FileStatus sync() = 0;
};

/** The part of a file system that storage needs; tests replace it to inject faults. */
class FileSystem
{
public:
    FileSystem() = default;
    FileSystem(const FileSystem &) = delete;
    FileSystem &operator=(const FileSystem &) = delete;
    virtual ~FileSystem() = default;

    [[nodiscard]] virtual FileStatus makeFolder(const std::string &path) = 0;
    /** Names in @p folder, sorted. */
    [[nodiscard]] virtual FileResult<std::vector<std::string>> list(const std::string &folder) = 0;
    [[nodiscard]] virtual FileResult<std::vector<std::uint8_t>> read(const std::string &path) = 0;
    /** Opens @p path for appending; makes it when it does not exist. */
    [[nodiscard]] virtual FileResult<std::unique_ptr<AppendFile>> openAppend(const std::string &path) = 0;
    /** Cuts @p path to @p size bytes and makes that durable. */
    [[nodiscard]] virtual FileStatus truncate(const std::string &path, std::uint64_t size) = 0;
    [[nodiscard]] virtual FileStatus rename(const std::string &from, const std::string &to) = 0;
    /** Removes @p path; it is no error if it does not exist. */
    [[nodiscard]] virtual FileStatus remove(const std::string &path) = 0;
    /** Makes created, renamed and removed names in @p folder durable. */
    [[nodiscard]] virtual FileStatus syncFolder(const std::string &folder) = 0;
};

/** The file system of the operating system. */
[[nodiscard]] std::unique_ptr<FileSystem> posixFileSystem();

} // namespace mimosahollow::storage
