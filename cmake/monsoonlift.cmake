# Build rules that every module folder shares.

# A unit test that runs longer hangs; sanitized builds are not optimised and take several times longer.
set(MONSOONLIFT_TEST_HANG_SECONDS 300)

# monsoonlift_module(NAME SOURCES ... DEPENDS ...): a static library; DEPENDS names libraries or other modules.
function(monsoonlift_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(monsoonlift_${name} STATIC ${ARG_SOURCES})
    add_library(monsoonlift::${name} ALIAS monsoonlift_${name})
    target_include_directories(monsoonlift_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(monsoonlift_${name} PUBLIC monsoonlift_options ${ARG_DEPENDS})
endfunction()

# monsoonlift_proto(NAME SOURCE): generated code, a library of its own, built without the project's warnings.
function(monsoonlift_proto name source)
    add_library(monsoonlift_${name}_proto STATIC ${source})
    target_include_directories(monsoonlift_${name}_proto PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(monsoonlift_${name}_proto PUBLIC protobuf::libprotobuf)
    if(MONSOONLIFT_SANITIZE)
        target_compile_options(monsoonlift_${name}_proto PRIVATE -fsanitize=${MONSOONLIFT_SANITIZE})
    endif()
endfunction()

# monsoonlift_tests(NAME SOURCES ... DEPENDS ... [THREADS] [APART TAG]): one Catch2 program per module, label "unit";
# THREADS adds the label "threads", which the thread sanitizer run selects. The cases tagged [TAG] run as a test of
# their own, beside the others. Sanitized builds leave out the cases
# tagged [model] or [scale]: long explorations of rules, which the plain build runs.
function(monsoonlift_tests name)
    cmake_parse_arguments(ARG "THREADS" "APART" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name}_tests ${ARG_SOURCES})
    add_dependencies(unit_tests ${name}_tests)
    # NOTE: Catch's main is built without sanitizers; last, its copies of inline functions aren't taken for all.
    target_link_libraries(${name}_tests PRIVATE monsoonlift_options ${ARG_DEPENDS} monsoonlift_catch_main)
    target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/src)
    set(cases "~[.]")
    if(MONSOONLIFT_SANITIZE)
        string(APPEND cases "~[model]~[scale]")
    endif()
    set(labels unit)
    if(ARG_THREADS)
        list(APPEND labels threads)
        add_dependencies(threads_tests ${name}_tests)
    endif()
    set(tests ${name}_tests)
    if(ARG_APART)
        list(APPEND tests ${name}_${ARG_APART}_tests)
        add_test(NAME ${name}_${ARG_APART}_tests COMMAND ${name}_tests --rng-seed 1 "[${ARG_APART}]${cases}")
        string(APPEND cases "~[${ARG_APART}]")
    endif()
    add_test(NAME ${name}_tests COMMAND ${name}_tests --rng-seed 1 ${cases})
    set_tests_properties(${tests} PROPERTIES LABELS "${labels}" TIMEOUT ${MONSOONLIFT_TEST_HANG_SECONDS})
endfunction()

# monsoonlift_program(NAME SOURCES ... DEPENDS ...): an executable in build/bin.
function(monsoonlift_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE monsoonlift_options ${ARG_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
