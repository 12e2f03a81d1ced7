#pragma once

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace Gypsumtally::Processes
{

/// A unique temporary directory. It is removed with its contents when this object is destroyed.
class TemporaryDirectory
{
public:
    TemporaryDirectory()
    {
        std::string name = (std::filesystem::temp_directory_path() / "gypsumtally-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary directory");
        m_path = name;
    }

    ~TemporaryDirectory()
    {
        if (m_isKept)
            return;
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    TemporaryDirectory(const TemporaryDirectory &) = delete;
    TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

    /// Keeps the directory and prints its path to standard error.
    void keep()
    {
        m_isKept = true;
        std::fprintf(stderr, "files are kept in %s\n", m_path.c_str());
    }

    std::string file(const std::string &name) const
    {
        return (m_path / name).string();
    }

private:
    std::filesystem::path m_path;
    bool m_isKept = false;
};

} // namespace Gypsumtally::Processes
