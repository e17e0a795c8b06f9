# Adds a static library with all sources of the current folder. ARGN lists the libraries that it links.
# Headers are included as <folder/header.hpp>.
function(sassafrasdeal_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/libraries)
    target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# Adds a program with all sources of the current folder. ARGN lists the libraries that it links.
function(sassafrasdeal_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/libraries ${PROJECT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Adds the test program of the library `name` with all sources of the current folder and registers it with
# CTest. RapidCheck runs with a fixed seed, so that failures are reproducible.
function(sassafrasdeal_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    if(sources)
        add_executable(test_${name} ${sources})
        target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR})
        target_compile_definitions(test_${name} PRIVATE SASSAFRASDEAL_SOURCE_FOLDER="${PROJECT_SOURCE_DIR}")
        target_link_libraries(test_${name} PRIVATE ${name} ${ARGN} GTest::gtest GTest::gtest_main rapidcheck)
        add_test(NAME ${name} COMMAND test_${name})
        set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
    endif()
endfunction()
