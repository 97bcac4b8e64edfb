#pragma once

#include "mimosahollow/link/linkoptions.h"

#include <filesystem>
#include <string>

namespace mimosahollow::link::test {

/** Folder for the files of one test; removed at the end. */
class Folder
{
public:
    Folder();
    ~Folder();
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;
    [[nodiscard]] std::string file(const std::string &name) const;

private:
    std::filesystem::path m_path;
};

/** Makes an authority and one certificate that it has issued; the file names start with @p name. */
[[nodiscard]] TlsFiles makeCertificates(const Folder &folder, const std::string &name);

} // namespace mimosahollow::link::test
