#include "mimosahollow/storage/filesystem.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace mimosahollow::storage {

namespace {

constexpr int filePermissions = 0600; // the log holds key hashes and stored answers
constexpr int folderPermissions = 0700;

FileError lastError(const char *operation, const std::string &path)
{
    const int code = errno;
    return {code, std::string(operation) + " " + path + ": " + std::generic_category().message(code)};
}

FileError syncError(const char *operation, const std::string &path)
{
    FileError error = lastError(operation, path);
    error.isSync = true;
    return error;
}

/** Owns a file descriptor. */
class Descriptor
{
public:
    explicit Descriptor(int descriptor) : m_descriptor(descriptor)
    {
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }
    [[nodiscard]] int value() const noexcept
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};

int openRetrying(const std::string &path, int flags)
{
    int descriptor = -1;
    do {
        descriptor = ::open(path.c_str(), flags | O_CLOEXEC, filePermissions); // NOLINT(cppcoreguidelines-pro-type-vararg)
    } while (descriptor < 0 && errno == EINTR);
    return descriptor;
}

class PosixAppendFile : public AppendFile
{
public:
    PosixAppendFile(int descriptor, std::string path) : m_descriptor(descriptor), m_path(std::move(path))
    {
    }

    FileResult<std::size_t> write(std::span<const std::uint8_t> data) override
    {
        ssize_t written = -1;
        do {
            written = ::write(m_descriptor.value(), data.data(), data.size());
        } while (written < 0 && errno == EINTR);
        if (written < 0) {
            return lastError("write", m_path);
        }
        return static_cast<std::size_t>(written);
    }

    FileStatus sync() override
    {
        // fdatasync() also makes the new size of the file durable.
        if (::fdatasync(m_descriptor.value()) != 0) {
            return syncError("fdatasync", m_path);
        }
        return std::monostate{};
    }

private:
    Descriptor m_descriptor;
    std::string m_path;
};

class PosixFileSystem : public FileSystem
{
public:
    FileStatus makeFolder(const std::string &path) override
    {
        if (::mkdir(path.c_str(), folderPermissions) != 0 && errno != EEXIST) {
            return lastError("mkdir", path);
        }
        return std::monostate{};
    }

    FileResult<std::vector<std::string>> list(const std::string &folder) override
    {
        std::vector<std::string> names;
        std::error_code error;
        std::filesystem::directory_iterator entry(folder, error);
        for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
            names.push_back(entry->path().filename().string());
        }
        if (error) {
            return FileError{error.value(), "list " + folder + ": " + error.message()};
        }
        std::sort(names.begin(), names.end());
        return names;
    }

    FileResult<std::vector<std::uint8_t>> read(const std::string &path) override
    {
        const Descriptor file(openRetrying(path, O_RDONLY));
        struct stat status
        {
        };
        if (file.value() < 0 || ::fstat(file.value(), &status) != 0) {
            return lastError("open", path);
        }
        std::vector<std::uint8_t> data(static_cast<std::size_t>(status.st_size));
        std::size_t done = 0;
        while (done < data.size()) {
            const ssize_t count = ::read(file.value(), data.data() + done, data.size() - done);
            if (count < 0 && errno != EINTR) {
                return lastError("read", path);
            }
            if (count == 0) {
                data.resize(done);
            }
            done += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return data;
    }

    FileResult<std::unique_ptr<AppendFile>> openAppend(const std::string &path) override
    {
        const int descriptor = openRetrying(path, O_WRONLY | O_APPEND | O_CREAT);
        if (descriptor < 0) {
            return lastError("open", path);
        }
        return std::make_unique<PosixAppendFile>(descriptor, path);
    }

    FileStatus truncate(const std::string &path, std::uint64_t size) override
    {
        const Descriptor file(openRetrying(path, O_WRONLY));
        if (file.value() < 0 || ::ftruncate(file.value(), static_cast<off_t>(size)) != 0) {
            return lastError("truncate", path);
        }
        if (::fsync(file.value()) != 0) {
            return syncError("fsync", path);
        }
        return std::monostate{};
    }

    FileStatus rename(const std::string &from, const std::string &to) override
    {
        if (::rename(from.c_str(), to.c_str()) != 0) {
            return lastError("rename", from);
        }
        return std::monostate{};
    }

    FileStatus remove(const std::string &path) override
    {
        if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
            return lastError("remove", path);
        }
        return std::monostate{};
    }

    FileStatus syncFolder(const std::string &folder) override
    {
        const Descriptor file(openRetrying(folder, O_RDONLY | O_DIRECTORY));
        if (file.value() < 0) {
            return lastError("open folder", folder);
        }
        if (::fsync(file.value()) != 0) {
            return syncError("sync folder", folder);
        }
        return std::monostate{};
    }
};

} // namespace

std::unique_ptr<FileSystem> posixFileSystem()
{
    return std::make_unique<PosixFileSystem>();
}

} // namespace mimosahollow::storage
